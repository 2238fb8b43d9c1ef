import { readFileSync } from 'node:fs';
import { cac } from 'cac';
import Table from 'cli-table3';
import { environmentSchema, submissionSchema } from '@marjorammast/protocol';
import {
  agentSettingsSchema,
  checkDocument,
  entrySettingsSchema,
  formatMistake,
  readDocument,
} from '@marjorammast/settings';
import type { DocumentResult } from '@marjorammast/settings';
import type * as z from 'zod';
import { callEntry } from './callEntry';
import type { EntryAnswer } from './callEntry';
import { EXIT_USAGE } from './settings';
import { parseDuration } from './parseDuration';
import { toTraceEvents } from './toTraceEvents';
import type { TimelineEvent } from './toTraceEvents';

/** Exit code when the entry refused the request, or the job failed. */
const EXIT_FAILED = 1;

/** Exit code when no entry could be reached. */
const EXIT_UNREACHABLE = 3;

const DEFAULT_ENTRY = process.env['MARJORAMMAST_ENTRY'] ?? '127.0.0.1:7100';

/** Time after the submission in which a job without `notAfter` may run, in milliseconds. */
const DEFAULT_NOT_AFTER_MS = 60_000;

type Options = Record<string, string | number | boolean | undefined> & { entry: string };

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const printJson = (value: unknown): void => print(JSON.stringify(value, null, 2));

const showError = (text: string): void => {
  process.stderr.write(`${text}\n`);
};

/** Returns the value of a valid document; otherwise prints the mistakes and ends the process. */
const valueOrExit = <T>(reading: DocumentResult<T>): T => {
  if (reading.type === 'valid') return reading.value;
  reading.mistakes.forEach((mistake) => showError(formatMistake(mistake)));
  return process.exit(EXIT_USAGE);
};

/** Calls the entry; ends the process if the entry cannot be reached. */
const callOrExit = async (
  options: Options,
  method: string,
  path: string,
  body?: unknown,
): Promise<EntryAnswer> => {
  try {
    return await callEntry(String(options.entry), method, path, body);
  } catch (error) {
    showError((error as Error).message);
    return process.exit(EXIT_UNREACHABLE);
  }
};

/**
 * Prints an answer and sets the exit code. Without `--json`, prints `text` if the request succeeded,
 * and the error otherwise.
 */
const printAnswer = ({ status, body }: EntryAnswer, options: Options, text: string): void => {
  if (options['json']) printJson(body);
  else if (status < 400) print(text);
  else showError(`${String(body['code'])} (${String(body['verdict'])}): ${String(body['detail'])}`);
  process.exitCode = status < 400 ? 0 : EXIT_FAILED;
};

const printRows = (rows: Record<string, unknown>[]): void => {
  const head = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const table = new Table({ head, style: { head: [], border: [] } });
  rows.forEach((row) => table.push(head.map((key) => String(row[key] ?? ''))));
  print(table.toString());
};

const submissionFileSchema = submissionSchema
  .omit({ idempotent: true })
  .partial({ notAfter: true });

const submit = async (file: string, options: Options): Promise<void> => {
  const job = valueOrExit(readDocument(file, submissionFileSchema));
  const notAfter = job.notAfter ?? Date.now() + DEFAULT_NOT_AFTER_MS;
  const query = options['wait'] === false ? '?wait=false' : '';
  const answer = await callOrExit(options, 'POST', `/v1/jobs${query}`, { ...job, notAfter });
  const results = (answer.body['results'] ?? []) as unknown[];
  printAnswer(answer, options, `${String(answer.body['status'])}, ${results.length} results`);
};

const showJob = async (method: string, team: string, key: string, options: Options) => {
  const path = `/v1/jobs/${encodeURIComponent(team)}/${encodeURIComponent(key)}`;
  const answer = await callOrExit(options, method, path);
  const { status, done, count } = answer.body;
  printAnswer(
    answer,
    options,
    `${String(status)}${count === undefined ? '' : `, ${done} of ${count}`}`,
  );
};

const showStatus = async (options: Options): Promise<void> => {
  const answer = await callOrExit(options, 'GET', '/v1/status');
  if (options['json'] || answer.status >= 400) {
    printAnswer(answer, options, '');
    return;
  }
  const { entries, agents } = answer.body as Record<string, Record<string, unknown>[]>;
  printRows(entries ?? []);
  printRows(agents ?? []);
};

const checkFile = (file: string, options: Options): void => {
  const text = readFileSync(file, 'utf8');
  const schemas: Record<string, z.ZodType> = {
    entry: entrySettingsSchema,
    agent: agentSettingsSchema,
    environment: environmentSchema,
    submission: submissionFileSchema,
  };
  const schema = schemas[String(options['as'])];
  if (!schema) {
    showError(`--as must be one of ${Object.keys(schemas).join(', ')}`);
    process.exit(EXIT_USAGE);
  }
  valueOrExit(checkDocument(file, text, schema));
  print(`${file}: no mistakes`);
};

/** Published version of the environment as an entry returns it; `null` if there is none. */
type StoredRelease = { version: number; author: string; environment: unknown } | null;

const fetchCurrentRelease = async (options: Options): Promise<StoredRelease> => {
  const { body } = await callOrExit(options, 'GET', '/v1/environment');
  return body as StoredRelease;
};

const printChange = (answer: EntryAnswer, options: Options): void => {
  const { type, version, confirmed, missing, current } = answer.body;
  if (type === 'conflict' && !options['json']) {
    const { version: newer, author } = current as { version: number; author: string };
    showError(`another change came first: version ${newer} by ${author}; nothing was written`);
    process.exitCode = EXIT_FAILED;
    return;
  }
  const confirmedBy = `confirmed by ${(confirmed as string[] | undefined)?.join(', ') || 'no other entry'}`;
  const unconfirmedBy = (missing as string[] | undefined)?.length
    ? `; not confirmed by ${(missing as string[]).join(', ')}`
    : '';
  printAnswer(
    answer,
    options,
    `${String(type)}: version ${String(version)}, ${confirmedBy}${unconfirmedBy}`,
  );
};

const applyEnvironment = async (file: string, options: Options): Promise<void> => {
  const environment = valueOrExit(readDocument(file, environmentSchema));
  const expected = options['expect'] ?? (await fetchCurrentRelease(options))?.version ?? -1;
  const body = {
    environment,
    expected: Number(expected),
    author: String(options['author']),
    allowAllOut: Boolean(options['allowAllOut']),
  };
  printChange(await callOrExit(options, 'PUT', '/v1/environment', body), options);
};

const diffEnvironment = async (file: string, options: Options): Promise<void> => {
  const environment = valueOrExit(readDocument(file, environmentSchema));
  const current = await fetchCurrentRelease(options);
  const flatten = (value: unknown, path: string): [string, string][] =>
    typeof value === 'object' && value !== null
      ? Object.entries(value).flatMap(([key, child]) =>
          flatten(child, path ? `${path}.${key}` : key),
        )
      : [[path, JSON.stringify(value)]];
  const before = new Map(flatten(current?.environment ?? {}, ''));
  const after = new Map(flatten(environment, ''));
  const paths = [...new Set([...before.keys(), ...after.keys()])].sort();
  const changed = paths.filter((path) => before.get(path) !== after.get(path));
  changed.forEach((path) =>
    print(`${path}: ${before.get(path) ?? '(absent)'} -> ${after.get(path) ?? '(absent)'}`),
  );
  print(`${changed.length} differences from version ${current?.version ?? '(none)'}`);
};

const changeDataCenter = async (state: string, name: string, options: Options): Promise<void> => {
  if (state !== 'out' && state !== 'in') {
    showError(`data-center: "${state}" must be out or in`);
    process.exit(EXIT_USAGE);
  }
  const query = options['allowAllOut'] ? '?allowAllOut=true' : '';
  const path = `/v1/data-centers/${encodeURIComponent(name)}/${state}${query}`;
  printChange(await callOrExit(options, 'POST', path), options);
};

const showTimeline = async (options: Options): Promise<void> => {
  const sinceMs = parseDuration(String(options['since']));
  if (sinceMs === undefined) {
    showError(`--since ${String(options['since'])}: must be a time such as 500ms, 30s or 5m`);
    process.exit(EXIT_USAGE);
  }
  const job = options['job'] ? `&job=${encodeURIComponent(String(options['job']))}` : '';
  const answer = await callOrExit(options, 'GET', `/v1/timeline?sinceMs=${sinceMs}${job}`);
  const { events, missing } = answer.body as { events: TimelineEvent[]; missing: string[] };
  if (options['trace']) printJson(toTraceEvents(events));
  else if (options['json']) events.forEach((event) => print(JSON.stringify(event)));
  else {
    events.forEach(({ time: [ms, counter], node, type, fields }) => {
      const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
      print(`${new Date(ms).toISOString()}.${counter} ${node} ${type} ${pairs.join(' ')}`.trim());
    });
  }
  missing.forEach((node) => showError(`${node} could not be asked`));
};

const cli = cac('marjorammast');
cli.option('--entry <address>', 'HTTP address of an entry', { default: DEFAULT_ENTRY });
cli.option('--json', 'Print the answer as JSON');
cli
  .command('submit <file>', 'Submit a job and wait for its answer')
  .option('--no-wait', 'Return at once; ask later with "job"')
  .action(submit);
cli
  .command('job <team> <key>', 'Show a job')
  .action((team: string, key: string, options: Options) => showJob('GET', team, key, options));
cli
  .command('cancel <team> <key>', 'Cancel a job')
  .action((team: string, key: string, options: Options) => showJob('DELETE', team, key, options));
cli.command('status', 'Show the entries and the agents').action(showStatus);
cli
  .command('check <file>', 'Check a document and report every mistake with its place')
  .option('--as <kind>', 'entry, agent, environment or submission', { default: 'environment' })
  .action(checkFile);
cli
  .command('env-diff <file>', 'Show what applying an environment would change')
  .action(diffEnvironment);
cli
  .command('env-apply <file>', 'Apply an environment')
  .option('--expect <version>', 'Version the change was made from; the current one when absent')
  .option('--author <name>', 'Who makes the change', { default: process.env['USER'] ?? 'operator' })
  .option('--allow-all-out', 'Allow a document in which every data centre is out')
  .action(applyEnvironment);
cli
  .command('env-show', 'Show the environment in force')
  .action(async (options: Options) => printJson(await fetchCurrentRelease(options)));
cli
  .command('data-center <state> <name>', 'Take a data centre out or bring it back in')
  .option('--allow-all-out', 'Allow the last data centre to be taken out')
  .action(changeDataCenter);
cli
  .command('timeline', 'Show recent events of all processes in order')
  .option('--since <time>', 'Greatest age, such as 30s', { default: '30s' })
  .option('--job <id>', 'Only events of this job, named team/key')
  .option('--trace', 'Print in the Trace Event format')
  .action(showTimeline);
cli.help((sections) => [
  ...sections,
  {
    title: 'Exit codes',
    body: '  0 done   1 refused or failed   2 bad command line or document   3 entry not reached',
  },
]);

const run = async (): Promise<void> => {
  try {
    const { options } = cli.parse(process.argv, { run: false });
    if (!cli.matchedCommand) {
      if (options['help']) return;
      cli.outputHelp();
      process.exitCode = EXIT_USAGE;
      return;
    }
    await cli.runMatchedCommand();
  } catch (error) {
    showError((error as Error).message);
    process.exitCode = EXIT_USAGE;
  }
};

void run();
