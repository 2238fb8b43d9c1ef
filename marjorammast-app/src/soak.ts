import { cac } from 'cac';
import { createLog } from '@marjorammast/telemetry';
import { Soak } from './soak/Soak';

/** Time for the log to be written before the process ends, in milliseconds. */
const LOG_FLUSH_MS = 500;

const run = async (): Promise<void> => {
  const cli = cac('soak');
  cli
    .option('--seed <n>', 'Seed of the faults and of the clients', { default: 1 })
    .option('--minutes <m>', 'Minutes during which faults are injected', { default: 1 })
    .option('--entries <n>', 'Number of entry processes', { default: 3 })
    .option('--crashes', 'Adds tasks that crash their workers, and changes of capacities')
    .option('--workers <n>', 'Number of workers, each with an agent process', { default: 4 })
    .help();
  const { options } = cli.parse();
  if (options.help) return;
  const [seed, minutes, entries, workers] = ['seed', 'minutes', 'entries', 'workers'].map((name) =>
    Number(options[name]),
  ) as [number, number, number, number];
  if (![seed, minutes, entries, workers].every((value) => value > 0)) {
    throw new Error('--seed, --minutes, --entries and --workers take numbers above 0');
  }
  const hasCrashes = options.crashes === true;
  const plan = { seed, durationMs: minutes * 60_000, entries, workers, hasCrashes };
  const log = createLog('soak', 'info');
  const { violations, outcomes, ...counts } = await Soak.create(plan, log).run();
  violations.forEach((violation) => log.error({ violation }, 'violation'));
  log.info({ seed, ...counts, ...outcomes, violations: violations.length }, 'soak_ended');
  process.exitCode = violations.length > 0 ? 1 : 0;
  // Ends the process even if handles are still open, once the log has had time to be written.
  setTimeout(() => process.exit(), LOG_FLUSH_MS).unref();
};

void run();
