import { z } from 'zod';

/** Kinds of processes that announce themselves in the store. */
export type ListedRole = 'agents' | 'entries';

const PREFIX = 'marjorammast/';

const listingSchema = z.object({
  /** Host and port for calls of other processes. */
  address: z.string().regex(/^[0-9a-fA-F.:]+:\d{1,5}$/),
  dataCenter: z.string().min(1),
});

/** A process that has announced itself in the store. */
export type ListedProcess = z.infer<typeof listingSchema> & { name: string };

/**
 * @param role - kind of the process
 * @param name - name of the process
 * @returns its key in the store
 */
export const listingKey = (role: ListedRole, name: string): string => `${PREFIX}${role}/${name}`;

/**
 * @param listed - the process
 * @returns the value to store under its key
 */
export const encodeListing = ({ address, dataCenter }: ListedProcess): string =>
  JSON.stringify({ address, dataCenter });

const decodeValue = (text: string): z.infer<typeof listingSchema> | undefined => {
  try {
    const listing = listingSchema.safeParse(JSON.parse(text));
    return listing.success ? listing.data : undefined;
  } catch {
    return undefined;
  }
};

/**
 * Finds the processes of one kind among items of the store; what cannot be read is passed over.
 *
 * @param role - kind of the processes
 * @param items - keys and values
 * @returns the processes
 */
export const decodeListings = (
  role: ListedRole,
  items: Iterable<{ key: string; value: string }>,
): ListedProcess[] => {
  const start = listingKey(role, '');
  return [...items].flatMap(({ key, value }) => {
    const listing = key.startsWith(start) ? decodeValue(value) : undefined;
    return listing ? [{ name: key.slice(start.length), ...listing }] : [];
  });
};
