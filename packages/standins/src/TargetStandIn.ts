import { Hono } from 'hono';
import { z } from 'zod';

/** Behaviour of a target stand-in. */
export const behaviorSchema = z.strictObject({
  /** Factor on every run time; 2 is half as fast. */
  slowness: z.number().positive().default(1),
  /** Share of the tasks that fail. */
  failures: z.number().min(0).max(1).default(0),
});

/** Inferred from {@link behaviorSchema}. */
export type Behavior = z.infer<typeof behaviorSchema>;

const taskBody = z.object({
  job: z.string(),
  index: z.number(),
  kind: z.string(),
  payload: z
    .object({ runMs: z.number().optional(), fail: z.boolean().optional() })
    .loose()
    .nullable(),
});

/** One line of a target's record of starts and ends. */
export type TargetRecord = {
  at: number;
  event: 'start' | 'end' | 'cut';
  target: string;
  job: string;
  index: number;
  kind: string;
};

const DEFAULT_RUN_MS = 50;

/** Stand-in of a target: waits as long as the payload says and keeps a record of what it ran. */
export class TargetStandIn {
  readonly records: TargetRecord[] = [];

  running = 0;

  private constructor(
    private readonly name: string,
    public behavior: Behavior,
    private readonly random: () => number,
    private readonly write: (record: TargetRecord) => void,
  ) {}

  /**
   * @param name - name in the records
   * @param behavior - speed and failures
   * @param random - uniform random numbers below 1
   * @param write - called with each record
   * @returns a target without tasks
   */
  static create(
    name: string,
    behavior: Behavior,
    random: () => number = Math.random,
    write: (record: TargetRecord) => void = () => undefined,
  ): TargetStandIn {
    return new TargetStandIn(name, behavior, random, write);
  }

  /**
   * Runs one task.
   *
   * @param body - the task as received
   * @returns the result, or `undefined` when the task fails
   */
  async run(body: z.infer<typeof taskBody>): Promise<unknown> {
    this.note('start', body);
    this.running += 1;
    const runMs = (body.payload?.runMs ?? DEFAULT_RUN_MS) * this.behavior.slowness;
    await new Promise((resolve) => {
      setTimeout(resolve, runMs);
    });
    this.running -= 1;
    this.note('end', body);
    if (body.payload?.fail || this.random() < this.behavior.failures) return undefined;
    return { job: body.job, index: body.index, target: this.name, payload: body.payload };
  }

  private note(event: TargetRecord['event'], body: z.infer<typeof taskBody>): void {
    const { job, index, kind } = body;
    const record = { at: Date.now(), event, target: this.name, job, index, kind };
    this.records.push(record);
    this.write(record);
  }
}

/**
 * Creates the HTTP interface of a target stand-in.
 *
 * @param target - the stand-in
 * @returns the routes
 */
export const createTargetHttp = (target: TargetStandIn): Hono =>
  new Hono()
    .post('/tasks', async (context) => {
      const result = await target.run(taskBody.parse(await context.req.json()));
      if (result === undefined) return context.json({ error: 'the task failed' }, 500);
      return context.json({ result: result as object });
    })
    .get('/records', (context) => context.json(target.records))
    .put('/behavior', async (context) => {
      target.behavior = behaviorSchema.parse(await context.req.json());
      return context.json(target.behavior);
    });
