// The record of a script: what was sent, answered and run, in the order in which it happened.
/* eslint import-x/extensions: off, import-x/prefer-default-export: off */
import { writeFileSync } from 'node:fs';

export class ScriptRecord {
  constructor() {
    this.startedAt = performance.now();
    this.lines = [];
    this.runs = [];
  }

  /** Time since the start of the script, in milliseconds. */
  get now() {
    return Math.round(performance.now() - this.startedAt);
  }

  note(text) {
    this.lines.push(`${String(this.now).padStart(6)} ms  ${text}`);
  }

  /** Notes a start or an end of a run at a worker. */
  run({ worker, task, run, type, usedCpu }) {
    this.runs.push({ at: this.now, worker, task, run, type, usedCpu });
    this.note(`${worker}: ${type} of ${task} run ${run}, cpu in use ${usedCpu}`);
  }

  write(file) {
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}
