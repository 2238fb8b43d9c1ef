import { randomBytes } from 'node:crypto';

const ID_BYTES = 6;

/** Creates a random identifier that is unique across processes. */
export const createId = (): string => randomBytes(ID_BYTES).toString('hex');
