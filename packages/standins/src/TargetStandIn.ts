import { Hono } from 'hono';
import * as z from 'zod';

/** Behaviour of a simulated target. */
export const behaviorSchema = z.strictObject({
  /** Factor on every run time; 2 halves the speed. */
  slowness: z.number().positive().default(1),
  /** Fraction of the tasks that fail. */
  failures: z.number().min(0).max(1).default(0),
});

/** Inferred from {@link behaviorSchema}. */
export type Behavior = z.infer<typeof behaviorSchema>;

const taskBodySchema = z.object({
  job: z.string(),
  index: z.number(),
  kind: z.string(),
  payload: z
    .object({ runMs: z.number().optional(), fail: z.boolean().optional() })
    .loose()
    .nullable(),
});

/** Record of the start or end of one task at a target. */
export type TargetRecord = {
  /** Time in milliseconds since the Unix epoch. */
  at: number;
  event: 'start' | 'end' | 'cut';
  target: string;
  job: string;
  index: number;
  kind: string;
};

/** Run time of a task whose payload gives none, in milliseconds. */
const DEFAULT_RUN_MS = 50;

/** Simulated target. It waits for the run time in the payload of a task and records what it ran. */
export class TargetStandIn {
  readonly records: TargetRecord[] = [];

  /** Number of tasks that are running. */
  running = 0;

  private constructor(
    private readonly name: string,
    public behavior: Behavior,
    private readonly random: () => number,
    private readonly write: (record: TargetRecord) => void,
  ) {}

  /**
   * @param name - name of the target, used in the records
   * @param behavior - speed and failure rate
   * @param random - uniform random numbers in [0, 1), which decide about failures
   * @param write - called with each record
   * @returns a target that runs no tasks yet
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
   * @param body - the request body
   * @returns the result, or `undefined` when the task fails
   */
  async run(body: z.infer<typeof taskBodySchema>): Promise<unknown> {
    this.addRecord('start', body);
    this.running += 1;
    const runMs = (body.payload?.runMs ?? DEFAULT_RUN_MS) * this.behavior.slowness;
    await new Promise((resolve) => {
      setTimeout(resolve, runMs);
    });
    this.running -= 1;
    this.addRecord('end', body);
    if (body.payload?.fail || this.random() < this.behavior.failures) return undefined;
    return { job: body.job, index: body.index, target: this.name, payload: body.payload };
  }

  private addRecord(event: TargetRecord['event'], body: z.infer<typeof taskBodySchema>): void {
    const { job, index, kind } = body;
    const record = { at: Date.now(), event, target: this.name, job, index, kind };
    this.records.push(record);
    this.write(record);
  }
}

/**
 * Creates the HTTP interface of a simulated target.
 *
 * @param target - the simulated target
 * @returns the routes
 */
export const createTargetHttp = (target: TargetStandIn): Hono =>
  new Hono()
    .post('/tasks', async (context) => {
      const result = await target.run(taskBodySchema.parse(await context.req.json()));
      if (result === undefined) return context.json({ error: 'the task failed' }, 500);
      return context.json({ result: result as object });
    })
    .get('/records', (context) => context.json(target.records))
    .put('/behavior', async (context) => {
      target.behavior = behaviorSchema.parse(await context.req.json());
      return context.json(target.behavior);
    });
