/**
 * One event of the merged timeline, as an entry returns it. `time` is a hybrid logical time:
 * milliseconds since the Unix epoch and a counter.
 */
export type TimelineEvent = {
  time: [number, number];
  node: string;
  type: string;
  fields: Record<string, string | number | boolean>;
};

/** One event of the Trace Event format. */
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

/** Event types that begin or end a span. */
const SPANS: Record<string, { name: string; ph: 'b' | 'e' }> = {
  jobAdmitted: { name: 'job', ph: 'b' },
  jobAnswered: { name: 'job', ph: 'e' },
  taskStarted: { name: 'task', ph: 'b' },
  taskEnded: { name: 'task', ph: 'e' },
};

/**
 * Converts events to the Trace Event format, which the trace viewers of browsers open. Jobs and
 * tasks become spans, all other events become instant events.
 *
 * @param events - merged events in the order of time
 * @returns the trace
 */
export const toTraceEvents = (events: readonly TimelineEvent[]): { traceEvents: TraceEvent[] } => {
  const nodes = [...new Set(events.map(({ node }) => node))];
  const nameEvents: TraceEvent[] = nodes.map((name, pid) => ({
    name: 'process_name',
    ph: 'M',
    pid,
    tid: 0,
    args: { name },
  }));
  const timelineEvents = events.map(({ time: [ms, counter], node, type, fields }): TraceEvent => {
    const span = SPANS[type];
    const base = { ts: ms * US_PER_MS + counter, pid: nodes.indexOf(node), tid: 0, args: fields };
    if (!span) return { name: type, ph: 'i', s: 'p', ...base };
    const id = `${fields['job']}${fields['index'] === undefined ? '' : `#${fields['index']}`}`;
    return { ...base, name: `${span.name} ${id}`, ph: span.ph, cat: span.name, id };
  });
  return { traceEvents: [...nameEvents, ...timelineEvents] };
};
