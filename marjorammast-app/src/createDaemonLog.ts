import { createBoundedOutput, createLog } from '@marjorammast/telemetry';
import type { Log } from '@marjorammast/telemetry';

/** Time between two log lines that report dropped lines, in milliseconds. */
const DROP_REPORT_PERIOD_MS = 5_000;

/**
 * Creates the log of a daemon. Writing to it never blocks; it drops lines instead, and logs how
 * many it has dropped.
 *
 * @param node - name of the process
 * @param level - lowest level that is logged
 * @returns the log
 */
export const createDaemonLog = (node: string, level: string): Log => {
  const output = createBoundedOutput();
  const log = createLog(node, level, output.write);
  const reportTimer = setInterval(() => {
    const lines = output.takeDropped();
    if (lines > 0) log.warn({ lines }, 'log_dropped');
  }, DROP_REPORT_PERIOD_MS);
  reportTimer.unref();
  process.on('exit', output.flush);
  return log;
};
