import { z } from 'zod';

/** Beginning of the keys under which agents announce themselves in the store. */
export const AGENT_PREFIX = 'marjorammast/agents/';

const agentListingSchema = z.object({
  /** Host and port for calls of entries. */
  address: z.string().regex(/^[0-9a-fA-F.:]+:\d{1,5}$/),
  dataCenter: z.string().min(1),
});

/** An agent that has announced itself in the store. */
export type ListedAgent = z.infer<typeof agentListingSchema> & { name: string };

/**
 * @param name - name of the agent
 * @returns its key in the store
 */
export const agentKey = (name: string): string => `${AGENT_PREFIX}${name}`;

/**
 * @param agent - the agent
 * @returns the value to store under its key
 */
export const encodeListing = ({ address, dataCenter }: ListedAgent): string =>
  JSON.stringify({ address, dataCenter });

/**
 * @param key - key in the store
 * @param value - value there
 * @returns the agent, or `undefined` for anything else
 */
export const decodeListing = (key: string, value: string): ListedAgent | undefined => {
  if (!key.startsWith(AGENT_PREFIX)) return undefined;
  try {
    const listing = agentListingSchema.safeParse(JSON.parse(value));
    return listing.success ? { name: key.slice(AGENT_PREFIX.length), ...listing.data } : undefined;
  } catch {
    return undefined;
  }
};
