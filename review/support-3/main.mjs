// Frame of a script: starts a deployment, plays the case, writes the record and sets the exit code.
/* eslint import-x/extensions: off, no-await-in-loop: off, import-x/prefer-default-export: off */
import { ScriptRecord } from './record.mjs';
import { Deployment } from './deployment.mjs';

const BROKEN = 1;
const NOT_RUN = 2;

/** Set to 0 to leave out the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Plays a case. `play` returns the breaches of the rule as texts; none means that the rule held.
 *
 * @param file - the record that is written
 * @param options - of the deployment
 * @param play - plays the case
 */
export const playCase = async (file, options, play) => {
  const record = new ScriptRecord();
  const deployment = new Deployment(record, options);
  let isAbandoned = false;
  const abandon = (signal) => {
    isAbandoned = true;
    record.note(`the script got ${signal}`);
    record.write(file);
    process.exitCode = NOT_RUN;
    deployment.stop().catch((error) => record.note(String(error)));
  };
  // run.sh sends SIGTERM when the script takes too long, and SIGKILL some seconds later.
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) => process.once(signal, abandon));
  try {
    await deployment.start();
    const breaches = await play(deployment, record);
    breaches.forEach((breach) => record.note(`BROKEN: ${breach}`));
    if (breaches.length === 0) record.note('the rule held');
    if (!isAbandoned) process.exitCode = breaches.length > 0 ? BROKEN : 0;
  } catch (error) {
    record.note(`not run: ${error.stack}`);
    process.exitCode = NOT_RUN;
  }
  await deployment.stop();
  record.write(file);
  process.stdout.write(`${record.lines.slice(-12).join('\n')}\n`);
};
