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

/** Highest generation that a registration may have. */
const MAX_GENERATION = 80_000_000;

const generationSchema = z.object({
  /** Number of the process among all that have registered under its name, from 1. */
  generation: z.number().int().positive().max(MAX_GENERATION),
  /** Identifier of the process, which tells its own write from that of another. */
  process: z.string().min(1),
});

/** The part of a registration that numbers the processes of an agent. */
export type RegisteredGeneration = z.infer<typeof generationSchema>;

/** Answer to a request for a higher generation. */
export type GenerationRenewal =
  | { type: 'renewed'; generation: number }
  /** Another process has registered under the name since. */
  | { type: 'replaced' }
  /** It is not known whether there is a higher generation. */
  | { type: 'unanswered'; detail: string };

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
 * @param numbered - its generation, if the processes under its name are numbered
 * @returns the value of its registration in the store
 */
export const encodeRegistration = (
  { address, dataCenter }: RegisteredProcess,
  numbered?: RegisteredGeneration,
): string => JSON.stringify({ address, dataCenter, ...numbered });

const decode = <T>(text: string, schema: z.ZodType<T>): T | undefined => {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

/**
 * @param text - value of a registration in the store
 * @returns the generation in it; `undefined` if it has none or is malformed
 */
export const decodeGeneration = (text: string): RegisteredGeneration | undefined =>
  decode(text, generationSchema);

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
  const decodeItem = (prefix: string, { key, value, revision }: RegistrationItem) => {
    const known = decoded.get(key);
    if (known?.revision === revision) return known.registered;
    const name = key.slice(prefix.length);
    const registration = name === '' ? undefined : decode(value, registrationSchema);
    const registered = registration && { name, ...registration };
    if (!registered) onInvalid(key);
    decoded.set(key, { revision, registered });
    return registered;
  };
  return (role: ProcessRole, items: Iterable<RegistrationItem>): RegisteredProcess[] => {
    const prefix = registrationKey(role, '');
    return [...items].flatMap((item) => {
      const registered = item.key.startsWith(prefix) ? decodeItem(prefix, item) : undefined;
      return registered ? [registered] : [];
    });
  };
};
