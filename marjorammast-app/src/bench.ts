import { runControl } from './bench/runControl';
import { runPath } from './bench/runPath';
import { runPlacement } from './bench/runPlacement';
import { EXIT_USAGE } from './settings';

/** Runs an experiment with a seed and returns its results. */
type Experiment = (seed: number) => Promise<Record<string, unknown>>;

const EXPERIMENTS: Record<string, Experiment> = {
  control: runControl,
  path: runPath,
  placement: runPlacement,
};

const DEFAULT_SEED = 1;

const readSeed = (): number => {
  const index = process.argv.indexOf('--seed');
  return index < 0 ? DEFAULT_SEED : Number(process.argv[index + 1]);
};

const run = async (): Promise<void> => {
  const name = process.argv[2] ?? '';
  const experiment = EXPERIMENTS[name];
  const seed = readSeed();
  if (!experiment || !Number.isInteger(seed)) {
    process.stderr.write(
      `usage: bench NAME [--seed N] [--json]\nNAME: ${Object.keys(EXPERIMENTS).join(', ')}\n`,
    );
    process.exit(EXIT_USAGE);
  }
  const results = { experiment: name, seed, ...(await experiment(seed)) };
  const indent = process.argv.includes('--json') ? undefined : 2;
  process.stdout.write(`${JSON.stringify(results, null, indent)}\n`);
  process.exit(0);
};

run().catch((error: Error) => {
  process.stderr.write(`${error.stack ?? error.message}\n`);
  process.exit(1);
});
