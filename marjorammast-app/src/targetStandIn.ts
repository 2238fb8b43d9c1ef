import { appendFileSync } from 'node:fs';
import { TargetStandIn, behaviorSchema, createTargetHttp } from '@marjorammast/standins';
import { createLog } from '@marjorammast/telemetry';
import * as z from 'zod';
import { serveHttp } from './serveHttp';
import { loadSettings } from './settings';

/** Time between two announcements of the target to its agent, in milliseconds. */
const ANNOUNCE_PERIOD_MS = 2_000;

const settingsSchema = z.strictObject({
  name: z.string(),
  http: z.string(),
  /** HTTP address of the target's agent. */
  agent: z.string(),
  slots: z.number().int().default(8),
  connections: z.number().int().default(64),
  behavior: behaviorSchema.prefault({}),
  /** File to which the starts and ends of tasks are appended. */
  records: z.string().optional(),
});

/** Runs a simulated target of the first design. */
const run = async (): Promise<void> => {
  const settings = loadSettings('targetStandIn', settingsSchema);
  const { name, http, agent, slots, connections, behavior, records } = settings;
  const log = createLog(name, 'warn');
  const target = TargetStandIn.create(name, behavior, Math.random, (record) => {
    if (records) appendFileSync(records, `${JSON.stringify(record)}\n`);
  });
  await serveHttp(createTargetHttp(target), http);
  const announce = async (): Promise<void> => {
    await fetch(`http://${agent}/target`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ address: http, slots, connections }),
    }).catch((error: unknown) => log.warn({ agent, detail: String(error) }, 'announce_failed'));
  };
  setInterval(() => void announce(), ANNOUNCE_PERIOD_MS);
  await announce();
  process.on('SIGTERM', () => {
    void fetch(`http://${agent}/target`, { method: 'DELETE' })
      .catch((error: unknown) => log.warn({ agent, detail: String(error) }, 'withdraw_failed'))
      .then(() => {
        const finish = () => (target.running === 0 ? process.exit(0) : setTimeout(finish, 20));
        finish();
      });
  });
};

void run();
