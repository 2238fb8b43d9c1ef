import { BodyBudget, deriveLimits } from '@marjorammast/http';
import type { LimitSettings, Protection, RejectionListener, Resources } from '@marjorammast/http';
import type { InboundLimits } from '@marjorammast/protocol';
import { createLimitedWarning } from '@marjorammast/telemetry';
import type { Log, PrometheusMetrics } from '@marjorammast/telemetry';

/** Settings of a daemon from which its limits are derived. */
type ProtectionSettings = Resources & { limits?: LimitSettings };

/** Protection of the ports of a process from excessive use of memory and descriptors. */
export type PortProtections = {
  /** Protects a port for clients. */
  main: (port: string) => Protection;
  /** Protects a port that has only a few known callers. */
  side: (port: string) => Protection;
  /** Protects the port for other processes. */
  peers: InboundLimits;
};

const createRejectionListener = (log: Log, metrics: PrometheusMetrics): RejectionListener => {
  const rejected = metrics.counter('marjorammast_requests_rejected', 'Requests rejected', [
    'reason',
    'port',
  ]);
  const warnings = new Map<string, ReturnType<typeof createLimitedWarning>>();
  return ({ reason, port, address }) => {
    rejected.inc({ reason, port });
    const warn = warnings.get(reason) ?? createLimitedWarning(log, 'request_rejected');
    warnings.set(reason, warn);
    warn({ reason, port, address });
  };
};

/**
 * Creates the protection of all ports of a daemon. The ports share one budget for incomplete bodies.
 *
 * @param settings - settings of the daemon
 * @param log - receives a limited number of lines for each reason of a rejection
 * @param metrics - receives the counter of rejections
 * @returns the protection of each port
 */
export const protectPorts = (
  settings: ProtectionSettings,
  log: Log,
  metrics: PrometheusMetrics,
): PortProtections => {
  const { main, side, peers, bodyMemoryBytes } = deriveLimits(settings.limits, settings);
  const budget = BodyBudget.create(bodyMemoryBytes);
  const onRejected = createRejectionListener(log, metrics);
  return {
    main: (port) => ({ port, limits: main, budget, onRejected }),
    side: (port) => ({ port, limits: side, budget, onRejected }),
    peers: {
      ...peers,
      onRejected: (reason, address) => onRejected({ reason, port: 'rpc', address }),
    },
  };
};
