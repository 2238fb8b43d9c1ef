import * as z from 'zod';

/** Roles under which processes register in the store for service discovery. */
export type ProcessRole = 'agents' | 'entries';

const KEY_PREFIX = 'marjorammast/';

const registrationSchema = z.object({
  /** RPC address, host and port. */
  address: z.string().regex(/^[0-9a-fA-F.:]+:\d{1,5}$/),
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

/**
 * Decodes the registrations of one role among items of the store. Invalid values are skipped.
 *
 * @param role - role of the processes
 * @param items - keys and values from the store
 * @returns the registered processes
 */
export const decodeRegistrations = (
  role: ProcessRole,
  items: Iterable<{ key: string; value: string }>,
): RegisteredProcess[] => {
  const prefix = registrationKey(role, '');
  return [...items].flatMap(({ key, value }) => {
    const registration = key.startsWith(prefix) ? decodeRegistration(value) : undefined;
    return registration ? [{ name: key.slice(prefix.length), ...registration }] : [];
  });
};
