import * as z from 'zod';

/** Highest TCP port. */
const MAX_PORT = 65_535;

const ADDRESS_PATTERN = /^\S+:(\d{1,5})$/;

/** Address of a process: a host, and a port to which one can connect. */
export const addressSchema = z.string().refine((text) => {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1]);
  return port >= 1 && port <= MAX_PORT;
}, 'not an address with a port');
