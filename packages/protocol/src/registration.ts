import { z } from 'zod';

/** Roles under which processes register in the store for service discovery. */
export type ProcessRole = 'agents' | 'entries';

const KEY_PREFIX = 'marjorammast/';

const listingSchema = z.object({
  /** RPC address, host and port. */
  address: z.string().regex(/^[0-9a-fA-F.:]+:\d{1,5}$/),
  dataCenter: z.string().min(1),
});

/** A process that is registered in the store. */
export type RegisteredProcess = z.infer<typeof listingSchema> & { name: string };

/**
 * @param role - role of the process
 * @param name - name of the process
 * @returns the key of its registration in the store
 */
export const registrationKey = (role: ProcessRole, name: string): string =>
  `${KEY_PREFIX}${role}/${name}`;

/**
 * @param listed - the process
 * @returns the value of its registration in the store
 */
export const encodeRegistration = ({ address, dataCenter }: RegisteredProcess): string =>
  JSON.stringify({ address, dataCenter });

const decodeListing = (text: string): z.infer<typeof listingSchema> | undefined => {
  try {
    const listing = listingSchema.safeParse(JSON.parse(text));
    return listing.success ? listing.data : undefined;
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
    const listing = key.startsWith(prefix) ? decodeListing(value) : undefined;
    return listing ? [{ name: key.slice(prefix.length), ...listing }] : [];
  });
};
