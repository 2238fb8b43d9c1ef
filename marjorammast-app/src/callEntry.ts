/** HTTP answer of an entry: its status and its decoded JSON body. */
export type EntryAnswer = { status: number; body: Record<string, unknown> };

/**
 * Calls an entry's HTTP interface.
 *
 * @param address - host and port of the entry
 * @param method - HTTP method
 * @param path - path with its query
 * @param body - value to send as JSON
 * @returns status and decoded body
 * @throws Error that names the address when the entry cannot be reached
 */
export const callEntry = async (
  address: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<EntryAnswer> => {
  try {
    const response = await fetch(`http://${address}${path}`, {
      method,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    const text = await response.text();
    return { status: response.status, body: JSON.parse(text || 'null') as EntryAnswer['body'] };
  } catch (error) {
    const cause = (error as { cause?: Error }).cause ?? (error as Error);
    throw new Error(`entry ${address}: ${cause.message}`);
  }
};
