import * as fc from 'fast-check';
import { ODD_ADDRESSES } from './support/oddValues';
import {
  createRegistrationDecoder,
  encodeRegistration,
  registrationKey,
} from '../src/registration';

const registered = (name: string, port: number) => ({
  name,
  address: `10.0.0.1:${port}`,
  dataCenter: 'north',
});

const toItem = (name: string, port: number, revision: number) => ({
  key: registrationKey('agents', name),
  value: encodeRegistration(registered(name, port)),
  revision,
});

describe('createRegistrationDecoder', () => {
  it('gives the same processes as decoding all values anew, whatever changes in between', () => {
    const port = fc.integer({ min: 1, max: 60_000 });
    const change = fc.tuple(
      fc.constantFrom('a', 'b', 'c', 'd'),
      fc.option(port, { nil: undefined }),
    );
    fc.assert(
      fc.property(fc.array(change), (changes) => {
        const decode = createRegistrationDecoder(jest.fn());
        const items = new Map<string, ReturnType<typeof toItem>>();
        const expected = new Map<string, ReturnType<typeof registered>>();
        changes.forEach(([name, newPort], revision) => {
          if (newPort === undefined) {
            items.delete(name);
            expected.delete(name);
          } else {
            items.set(name, toItem(name, newPort, revision + 1));
            expected.set(name, registered(name, newPort));
          }
          expect(decode('agents', items.values())).toEqual([...expected.values()]);
        });
      }),
    );
  });

  // The load: all processes of a deployment start together, and each entry sees every one register.
  it('decodes as many values as there are processes while they register one after the other', () => {
    const processes = 195;
    const parse = jest.spyOn(JSON, 'parse');
    const decode = createRegistrationDecoder(jest.fn());
    const items: ReturnType<typeof toItem>[] = [];
    for (let index = 0; index < processes; index += 1) {
      items.push(toItem(`p-${index}`, index + 1, index + 1));
      decode('agents', items);
    }
    expect(parse).toHaveBeenCalledTimes(processes);
    parse.mockRestore();
  });

  it('skips invalid values and reports each once', () => {
    const invalid: string[] = [];
    const decode = createRegistrationDecoder((key) => invalid.push(key));
    const key = registrationKey('agents', 'bad');
    const items = [{ key, value: '{"address":7}', revision: 1 }, toItem('good', 1, 2)];
    expect(decode('agents', items)).toEqual([registered('good', 1)]);
    decode('agents', items);
    expect(invalid).toEqual([key]);
  });

  it.each(ODD_ADDRESSES)('skips a registration whose address has %s', (_, odd) => {
    const invalid: string[] = [];
    const decode = createRegistrationDecoder((key) => invalid.push(key));
    const key = registrationKey('agents', 'odd');
    const items = [
      { key, value: `{"address":${odd},"dataCenter":"north"}`, revision: 1 },
      { ...toItem('', 1, 3), key: registrationKey('agents', '') },
      toItem('good', 1, 2),
    ];
    expect(decode('agents', items)).toEqual([registered('good', 1)]);
    expect(invalid).toHaveLength(2);
  });
});
