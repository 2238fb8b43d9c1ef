import { StoreStandIn, createStoreHttp } from '@marjorammast/standins';
import { z } from 'zod';
import { serveHttp } from './serveHttp';
import { loadSettings } from './settings';

const settingsSchema = z.strictObject({ http: z.string() });

const run = async (): Promise<void> => {
  const { http } = loadSettings('storeStandIn', settingsSchema);
  await serveHttp(createStoreHttp(StoreStandIn.create()), http);
  process.stdout.write(`event=started http=${http}\n`);
};

void run();
