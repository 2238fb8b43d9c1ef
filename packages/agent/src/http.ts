import { Hono } from 'hono';
import { z } from 'zod';
import type { Agent } from './Agent';

const announcementSchema = z.strictObject({
  address: z.string().regex(/^[0-9a-fA-F.:]+:\d{1,5}$/, 'must be an IP number and a port'),
  slots: z.number().int().min(1).max(256).default(8),
  connections: z.number().int().min(1).max(1024).default(64),
});

/**
 * Creates the agent's HTTP interface for its target.
 *
 * @param agent - the agent
 * @returns the routes
 */
export const createAgentHttp = (agent: Agent): Hono =>
  new Hono()
    .put('/target', async (context) => {
      const body = announcementSchema.safeParse(await context.req.json().catch(() => undefined));
      if (!body.success) {
        const detail = body.error.issues
          .map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
          .join('; ');
        return context.json({ title: 'invalid announcement', detail }, 400);
      }
      agent.announce(body.data);
      return context.json({ leased: true });
    })
    .delete('/target', (context) => {
      agent.dropTarget('target left');
      return context.json({ leased: false });
    })
    .get('/health', (context) => context.json(agent.status()));
