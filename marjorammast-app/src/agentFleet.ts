import { Agent } from '@marjorammast/agent';
import { createId, dial } from '@marjorammast/protocol';
import { Timeline, createLog, createMetrics } from '@marjorammast/telemetry';
import * as z from 'zod';
import { loadSettings } from './settings';

/** Time between two announcements of a target to its agent, in milliseconds. */
const ANNOUNCE_PERIOD_MS = 2_000;

/** Pause between the starts of two agents, to limit the load on the entries, in milliseconds. */
const START_PAUSE_MS = 10;

const settingsSchema = z.strictObject({
  count: z.number().int().positive(),
  dataCenters: z.array(z.string()).min(1),
  entries: z.array(z.string()).min(1),
  slots: z.number().int().positive(),
});

/**
 * Runs many agents of the first design in one process, to load entries with the connections of a
 * large fleet.
 */
const run = (): void => {
  const { count, dataCenters, entries, slots } = loadSettings('agentFleet', settingsSchema);
  const traffic = { sentBytes: 0, receivedBytes: 0, messages: 0 };
  const log = createLog('fleet', 'error');
  const metrics = createMetrics(undefined, 'fleet');
  for (let index = 0; index < count; index += 1) {
    const name = `fleet-${index}`;
    const agent = Agent.create({
      name,
      dataCenter: dataCenters[index % dataCenters.length] ?? '',
      entries,
      dial: (address, server) => dial(address, server, traffic),
      runTask: async () => ({ type: 'notSent', detail: 'a fleet runs no tasks' }),
      createId,
      random: Math.random,
      log,
      metrics,
      timeline: Timeline.create(name, 16),
    });
    const announce = () => agent.announce({ address: name, slots, connections: 64 });
    setTimeout(() => {
      agent.start();
      announce();
      setInterval(announce, ANNOUNCE_PERIOD_MS);
    }, index * START_PAUSE_MS);
  }
};

run();
