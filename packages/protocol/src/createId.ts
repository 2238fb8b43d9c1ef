import { randomBytes } from 'node:crypto';

const ID_BYTES = 6;

/** Creates an identifier that no other process creates. */
export const createId = (): string => randomBytes(ID_BYTES).toString('hex');
