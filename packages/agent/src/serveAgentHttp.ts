import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import polka from 'polka';
import * as z from 'zod';
import type { Agent } from './Agent';

/** Maximum length of an announcement's body, counted in characters, which are bytes for ASCII. */
const MAX_ANNOUNCEMENT_BYTES = 4_096;

const announcementSchema = z.strictObject({
  address: z.string().regex(/^[0-9a-fA-F.:]+:\d{1,5}$/, 'must be an IP number and a port'),
  slots: z.number().int().min(1).max(256).default(8),
  connections: z.number().int().min(1).max(1024).default(64),
});

const respond = (response: ServerResponse, status: number, body: unknown): void => {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
};

const readText = async (request: IncomingMessage): Promise<string | undefined> => {
  let text = '';
  // eslint-disable-next-line no-restricted-syntax -- a stream is read by iteration
  for await (const chunk of request) {
    text += String(chunk);
    if (text.length > MAX_ANNOUNCEMENT_BYTES) return undefined;
  }
  return text;
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

const handleAnnouncement = async (
  agent: Agent,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  const text = await readText(request);
  if (text === undefined) {
    respond(response, 413, { title: `announcement over ${MAX_ANNOUNCEMENT_BYTES} bytes` });
    return;
  }
  const body = announcementSchema.safeParse(parseJson(text));
  if (!body.success) {
    const problems = body.error.issues.map(
      (issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`,
    );
    respond(response, 400, { title: 'invalid announcement', detail: problems.join('; ') });
    return;
  }
  agent.announce(body.data);
  respond(response, 200, { leased: true });
};

/**
 * Serves the agent's HTTP interface for its target. It uses Node's own server, since `hono` loads
 * the runtime's fetch classes, which need more memory than the agent may use.
 *
 * @param agent - the agent
 * @param host - address to listen on
 * @param port - port to listen on
 * @param usage - returns resource usage figures of the process for `/health/usage`
 * @returns the listening server
 */
export const serveAgentHttp = (
  agent: Agent,
  host: string,
  port: number,
  usage: () => object,
): Promise<Server> =>
  new Promise((resolve, reject) => {
    const app = polka()
      .put('/target', (request, response) => handleAnnouncement(agent, request, response))
      .delete('/target', (_request, response) => {
        agent.withdrawTarget('target left');
        respond(response, 200, { leased: false });
      })
      .get('/health', (_request, response) => respond(response, 200, agent.status()))
      .get('/health/usage', (_request, response) => respond(response, 200, usage()));
    app.listen(port, host, () => resolve(app.server as Server));
    app.server?.once('error', reject);
  });
