import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { checkDocument } from '../src';
import { dispatchSettingsSchema, gateSettingsSchema } from '../src/daemonSettings';

const VALUES: Record<string, unknown> = {
  node_name: 'edge-1',
  zone: 'one',
  ip: '127.0.0.1',
  app: '127.0.0.1:7000',
  'internal_ports.0': 7001,
  'listen_addrs.frontend': '127.0.0.1:7002',
  'listen_addrs.readiness': '127.0.0.1:7003',
  'listen_addrs.control': '127.0.0.1:7004',
  'platform.address': '127.0.0.1:7005',
  'limits.cpu_share': 0.324,
  'limits.cores': 1,
  'limits.memory_mb': 160,
  'limits.max_fds': 3_075,
};

/** Fills in a template as the platform does, which renders a value that it does not have as nothing. */
const fill = (file: string, values = VALUES): string =>
  readFileSync(join(__dirname, '../../../deploy', file), 'utf8').replace(
    /\{\{([^|}]+)(\|json)?\}\}/g,
    (_, name: string, json?: string) =>
      json ? JSON.stringify(values[name]) : String(values[name] ?? ''),
  );

describe('templates of the settings', () => {
  // Guards against a process that ends at its start since its settings are refused.
  it.each([
    ['entry.jsonc', (text: string) => checkDocument('entry', text, dispatchSettingsSchema)],
    ['agent.jsonc', (text: string) => checkDocument('agent', text, gateSettingsSchema)],
  ] as const)('%s gives settings without mistakes', (file, check) => {
    expect(check(fill(file))).toMatchObject({
      type: 'valid',
      value: { name: 'edge-1', memoryMb: 160, maxDescriptors: 3_075 },
    });
  });

  it('entry.jsonc switches forwarding on and passes the granted processor time', () => {
    const result = checkDocument('entry.jsonc', fill('entry.jsonc'), dispatchSettingsSchema);
    expect(result).toMatchObject({
      value: {
        processorCores: { share: 0.324, cores: 1 },
        forwarding: { highUtilization: 0.7, lowUtilization: 0.5, maxPeers: 4 },
      },
    });
  });

  it('reject a head timeout below the one that operators publish', () => {
    const text = fill('entry.jsonc').replace(/\}\s*$/, '"limits": { "headerTimeoutMs": 2999 } }');
    const result = checkDocument<unknown>('entry.jsonc', text, dispatchSettingsSchema);
    expect(result).toMatchObject({
      type: 'invalid',
      mistakes: [{ path: 'limits.headerTimeoutMs' }],
    });
  });

  // Guards against daemons that do not start in a deployment that states no limits of its VMs.
  it.each([
    ['entry.jsonc', (text: string) => checkDocument('entry', text, dispatchSettingsSchema)],
    ['agent.jsonc', (text: string) => checkDocument('agent', text, gateSettingsSchema)],
  ] as const)('%s gives settings without mistakes when no limits are known', (file, check) => {
    const known = Object.entries(VALUES).filter(([name]) => !name.startsWith('limits.'));
    expect(check(fill(file, Object.fromEntries(known)))).toMatchObject({ type: 'valid' });
  });
});
