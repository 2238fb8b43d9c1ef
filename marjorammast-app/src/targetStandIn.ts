import { appendFileSync } from 'node:fs';
import { TargetStandIn, behaviorSchema, createTargetHttp } from '@marjorammast/standins';
import { z } from 'zod';
import { serveHttp } from './serveHttp';
import { loadSettings } from './settings';

const ANNOUNCE_MS = 2_000;

const settingsSchema = z.strictObject({
  name: z.string(),
  http: z.string(),
  /** HTTP address of the agent beside the target. */
  agent: z.string(),
  slots: z.number().int().default(8),
  connections: z.number().int().default(64),
  behavior: behaviorSchema.prefault({}),
  /** File to which starts and ends are appended. */
  records: z.string().optional(),
});

const run = async (): Promise<void> => {
  const settings = loadSettings('targetStandIn', settingsSchema);
  const { name, http, agent, slots, connections, behavior, records } = settings;
  const target = TargetStandIn.create(name, behavior, Math.random, (record) => {
    if (records) appendFileSync(records, `${JSON.stringify(record)}\n`);
  });
  await serveHttp(createTargetHttp(target), http);
  const announce = async (): Promise<void> => {
    await fetch(`http://${agent}/target`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ address: http, slots, connections }),
    }).catch(() => undefined);
  };
  setInterval(() => void announce(), ANNOUNCE_MS);
  await announce();
  process.on('SIGTERM', () => {
    void fetch(`http://${agent}/target`, { method: 'DELETE' })
      .catch(() => undefined)
      .then(() => {
        const finish = () => (target.running === 0 ? process.exit(0) : setTimeout(finish, 20));
        finish();
      });
  });
};

void run();
