import { EtcdStandIn, createEtcdHttp } from '@marjorammast/standins';
import * as z from 'zod';
import { serveHttp } from './serveHttp';
import { loadSettings } from './settings';

const settingsSchema = z.strictObject({ http: z.string() });

/** Runs the simulated store of the first design. */
const run = async (): Promise<void> => {
  const { http } = loadSettings('storeStandIn', settingsSchema);
  await serveHttp(createEtcdHttp(EtcdStandIn.create()), http);
  process.stdout.write(`event=started http=${http}\n`);
};

void run();
