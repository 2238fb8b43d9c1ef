import { createBoundedOutput, createLog } from '@marjorammast/telemetry';
import type { Log } from '@marjorammast/telemetry';

/** Time between two reports of dropped lines, in milliseconds. */
const DROP_REPORT_MS = 5_000;

/**
 * Creates the log of a daemon: it never blocks, and tells how many lines it dropped.
 *
 * @param node - name of the process
 * @param level - lowest level that is written
 */
export const createDaemonLog = (node: string, level: string): Log => {
  const output = createBoundedOutput();
  const log = createLog(node, level, output.write);
  const report = setInterval(() => {
    const lines = output.takeDropped();
    if (lines > 0) log.warn({ lines }, 'log_dropped');
  }, DROP_REPORT_MS);
  report.unref();
  process.on('exit', output.flush);
  return log;
};
