/** One event of the merged time line, as an entry answers it. */
export type TimelineEvent = {
  time: [number, number];
  node: string;
  type: string;
  fields: Record<string, string | number | boolean>;
};

type TraceEvent = {
  name: string;
  ph: 'b' | 'e' | 'i' | 'M';
  ts?: number;
  pid: number;
  tid: number;
  id?: string;
  cat?: string;
  s?: 'p';
  args: Record<string, unknown>;
};

const US_PER_MS = 1_000;

const SPANS: Record<string, { name: string; ph: 'b' | 'e' }> = {
  jobAdmitted: { name: 'job', ph: 'b' },
  jobAnswered: { name: 'job', ph: 'e' },
  taskStarted: { name: 'task', ph: 'b' },
  taskEnded: { name: 'task', ph: 'e' },
};

/**
 * Converts events to the Trace Event format that browsers' trace viewers open: jobs and tasks as
 * spans, everything else as instants.
 *
 * @param events - merged events in order
 * @returns the trace
 */
export const toTraceEvents = (events: readonly TimelineEvent[]): { traceEvents: TraceEvent[] } => {
  const nodes = [...new Set(events.map(({ node }) => node))];
  const names: TraceEvent[] = nodes.map((name, pid) => ({
    name: 'process_name',
    ph: 'M',
    pid,
    tid: 0,
    args: { name },
  }));
  const converted = events.map(({ time: [ms, counter], node, type, fields }): TraceEvent => {
    const span = SPANS[type];
    const base = { ts: ms * US_PER_MS + counter, pid: nodes.indexOf(node), tid: 0, args: fields };
    if (!span) return { name: type, ph: 'i', s: 'p', ...base };
    const id = `${fields['job']}${fields['index'] === undefined ? '' : `#${fields['index']}`}`;
    return { ...base, name: `${span.name} ${id}`, ph: span.ph, cat: span.name, id };
  });
  return { traceEvents: [...names, ...converted] };
};
