import * as z from 'zod';
import { addressSchema } from './addressSchema';

/** Roles under which processes register in the store for service discovery. */
export type ProcessRole = 'agents' | 'entries';

const KEY_PREFIX = 'marjorammast/';

/** Processes register with the IP address of their host. */
const HOST_PATTERN = /^[0-9a-fA-F.:]+$/;

const registrationSchema = z.object({
  /** RPC address, host and port. */
  address: addressSchema.regex(HOST_PATTERN),
  dataCenter: z.string().min(1),
});

/** A process that is registered in the store. */
export type RegisteredProcess = z.infer<typeof registrationSchema> & { name: string };

/**
 * @param role - role of the process
 * @param name - name of the process
 * @returns the key of its registration in the store
 */
export const registrationKey = (role: ProcessRole, name: string): string =>
  `${KEY_PREFIX}${role}/${name}`;

/**
 * @param registered - the process
 * @returns the value of its registration in the store
 */
export const encodeRegistration = ({ address, dataCenter }: RegisteredProcess): string =>
  JSON.stringify({ address, dataCenter });

const decodeRegistration = (text: string): z.infer<typeof registrationSchema> | undefined => {
  try {
    const registration = registrationSchema.safeParse(JSON.parse(text));
    return registration.success ? registration.data : undefined;
  } catch {
    return undefined;
  }
};

/** A stored item, of which the revision rises with each change. */
type RegistrationItem = { key: string; value: string; revision: number };

/**
 * Creates a decoder of registrations. It decodes each value once: all items are passed again whenever one
 * of them changes, and at the start of a deployment each process adds one.
 *
 * @param onInvalid - called once with the key of each invalid value, which is skipped
 * @returns decodes the registered processes of one role among items of the store
 */
export const createRegistrationDecoder = (onInvalid: (key: string) => void) => {
  const decoded = new Map<string, { revision: number; registered?: RegisteredProcess }>();
  const decode = (prefix: string, { key, value, revision }: RegistrationItem) => {
    const known = decoded.get(key);
    if (known?.revision === revision) return known.registered;
    const name = key.slice(prefix.length);
    const registration = name === '' ? undefined : decodeRegistration(value);
    const registered = registration && { name, ...registration };
    if (!registered) onInvalid(key);
    decoded.set(key, { revision, registered });
    return registered;
  };
  return (role: ProcessRole, items: Iterable<RegistrationItem>): RegisteredProcess[] => {
    const prefix = registrationKey(role, '');
    return [...items].flatMap((item) => {
      const registered = item.key.startsWith(prefix) ? decode(prefix, item) : undefined;
      return registered ? [registered] : [];
    });
  };
};
