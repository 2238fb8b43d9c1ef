import { BodyBudget } from './BodyBudget';
import type { RejectionListener } from './rejections';
import { deriveLimits } from './requestLimits';
import type { RequestLimits } from './requestLimits';

/** What bounds the requests on one port. */
export type Protection = {
  /** Name of the port, for logs and metrics. */
  port: string;
  limits: RequestLimits;
  /** Budget of incomplete bodies; the ports of a process share it. */
  budget: BodyBudget;
  onRejected: RejectionListener;
};

/**
 * Creates the protection of a port with the default limits and a budget of its own.
 *
 * @param port - name of the port
 * @param changes - what differs from the default
 * @returns the protection
 */
export const createProtection = (port: string, changes: Partial<Protection> = {}): Protection => {
  const { main, bodyMemoryBytes } = deriveLimits();
  return {
    port,
    limits: main,
    budget: BodyBudget.create(bodyMemoryBytes),
    onRejected: () => undefined,
    ...changes,
  };
};
