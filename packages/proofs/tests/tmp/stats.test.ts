import fc from 'fast-check';
import { check } from '/work/main/packages/proofs/tests/support/Recorder';
import { runSchedule, schedule } from '/work/main/packages/proofs/tests/support/schedule';
it('stats', async () => {
  jest.useFakeTimers({ now: 1_800_000_000_000 });
  const codes: Record<string, number> = {};
  let starts = 0; let acc=0; let bad=0;
  const viol: string[] = [];
  for (const run of fc.sample(schedule, { seed: Number(process.env.S ?? 7), numRuns: Number(process.env.N ?? 60) })) {
    const w = await runSchedule(run);
    starts += w.seen.starts.length;
    acc += w.seen.changes.filter((c) => c.acceptedAt).length;
    for (const a of w.seen.answers) { const k = a.answer.type === 'complete' ? 'complete' : a.answer.failure.code + ':' + a.answer.failure.verdict; codes[k] = (codes[k] ?? 0) + 1; }
    const v = check(w.seen);
    if (v.length) { bad++; viol.push(JSON.stringify(v.slice(0,3)) + ' ' + JSON.stringify(run.faults)+run.seed); }
  }
  console.log(starts, acc, codes, 'bad', bad, viol.slice(0, 8).join('\n'));
}, 600000);
