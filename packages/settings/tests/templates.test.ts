import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { checkDocument, dispatchSettingsSchema, gateSettingsSchema } from '../src';

const FOLDER = join(__dirname, '../../../deploy');

/** Fills in a template as the platform does: addresses, numbers of the VM, and names. */
const fillIn = (text: string): string =>
  text
    .replace(/\{\{limits\.[a-z_]+\|json\}\}/g, '160')
    .replace(/\{\{(node_name|zone)\|json\}\}/g, '"north"')
    .replace(/\{\{[a-z_.]+\|json\}\}/g, '"127.0.0.1:7100"')
    .replace(/\{\{ip\}\}/g, '127.0.0.1')
    .replace(/\{\{internal_ports\.0\}\}/g, '7101');

describe('templates of the settings', () => {
  // Guards against a daemon that does not start, since its template has a key that the schema does not know.
  it.each([
    ['entry.jsonc', dispatchSettingsSchema],
    ['agent.jsonc', gateSettingsSchema],
  ] as const)('%s is valid when it is filled in, and states the resources', (file, schema) => {
    const text = fillIn(readFileSync(join(FOLDER, file), 'utf8'));
    const result = checkDocument<unknown>(file, text, schema);
    expect(result).toMatchObject({ type: 'valid', value: { memoryMb: 160, maxDescriptors: 160 } });
  });

  it('rejects a head timeout below the one that operators publish', () => {
    const text = fillIn(readFileSync(join(FOLDER, 'entry.jsonc'), 'utf8'));
    const withLimits = text.replace(/\}\s*$/, '"limits": { "headerTimeoutMs": 2999 } }');
    const result = checkDocument<unknown>('entry.jsonc', withLimits, dispatchSettingsSchema);
    expect(result).toMatchObject({
      type: 'invalid',
      mistakes: [{ path: 'limits.headerTimeoutMs' }],
    });
  });
});
