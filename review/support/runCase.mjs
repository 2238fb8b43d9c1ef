/* eslint-disable import-x/extensions -- plain modules of Node.js, without a build */
import { Deployment } from './Deployment.mjs';

/** Longest time of a case, in milliseconds. */
const CASE_TIMEOUT_MS = 75_000;

/** Exit code for a broken rule. Node.js itself exits with 1 after an error, so `run.sh` translates this one. */
const EXIT_BROKEN = 3;

/** False when the case runs without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

const print = (text) => process.stdout.write(`${text}\n`);

const failAfter = (ms) =>
  new Promise((_, reject) => {
    setTimeout(() => reject(new Error(`not done after ${ms} ms`)), ms).unref();
  });

/**
 * Runs a case on a deployment of its own and sets the exit code: 3 if the rule was broken, 0 if it held, 2
 * if the case could not run. The lines of the record are written to `record.txt` in the folder of the case.
 *
 * @param folder - `import.meta.url` of the case
 * @param options - size and settings of the deployment
 * @param configuration - the operators' first configuration
 * @param scenario - what happens; gets the deployment, and returns what the judge needs
 * @param judge - gets the lines of the record and the result of the scenario, and returns one text for
 * each breach of the rule
 */
export const runCase = async ({ folder, options, configuration, scenario, judge }) => {
  const deployment = new Deployment(options);
  process.once('exit', () => deployment.kill());
  ['SIGINT', 'SIGTERM'].forEach((signal) =>
    process.once(signal, () => {
      deployment.kill();
      process.kill(process.pid, signal);
    }),
  );
  try {
    let result;
    try {
      const play = async () => {
        await deployment.start(configuration);
        return scenario(deployment);
      };
      result = await Promise.race([play(), failAfter(CASE_TIMEOUT_MS)]);
    } finally {
      await deployment.stop();
    }
    const breaches = judge(deployment.lines, result);
    breaches.forEach((text) => {
      deployment.record('breach', { text });
      print(text);
    });
    print(breaches.length > 0 ? `broken ${breaches.length} times` : 'held');
    process.exitCode = breaches.length > 0 ? EXIT_BROKEN : 0;
  } catch (error) {
    deployment.record('not run', { detail: error.message });
    print(`could not run: ${error.stack}`);
    process.exitCode = 2;
  } finally {
    deployment.writeRecord(new URL('record.txt', folder));
  }
};
