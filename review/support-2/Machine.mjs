/* eslint-disable import-x/prefer-default-export */
import { spawn } from 'node:child_process';
import { readFileSync, writeFileSync, createWriteStream } from 'node:fs';
import { join } from 'node:path';

const RESTART_DELAY_MS = 300;

const at = (fields, path) => path.split('.').reduce((value, key) => value?.[key], fields);

/** Fills the plain placeholders of a template of settings; the deploy file of this project uses no sections. */
const render = (template, fields) =>
  template.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = at(fields, path);
    return isJson ? JSON.stringify(value) : String(value ?? '');
  });

/** Reads the command and the template of a role from the deploy file. */
const readRole = (root, role) => {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('\n[')[0];
  const valueOf = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(section)[1];
  return { run: valueOf('run'), template: valueOf('template') };
};

/** A machine with one process of the system, which is started again after each end, as the platform does. */
export class Machine {
  /** @param options - `root`, `folder`, `role`, `name`, `fields` (those of the settings file), `record` */
  constructor(options) {
    this.options = options;
    this.isWanted = false;
  }

  start() {
    const { root, folder, role, name, fields } = this.options;
    const { run, template } = readRole(root, role);
    const boot = join(folder, `${name}.jsonc`);
    const settings = { node_name: name, ...fields };
    writeFileSync(boot, render(readFileSync(join(root, template), 'utf8'), settings));
    const [program, ...words] = run.split(' ');
    const args = words.map((word) => (word === '/etc/marjorammast/boot.toml' ? boot : word));
    const child = spawn(program, args, { cwd: root, stdio: ['ignore', 'pipe', 'pipe'] });
    this.log ??= createWriteStream(join(folder, `${name}.log`));
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    this.child = child;
    this.isWanted = true;
    this.options.record({ machine: name, type: 'process started', pid: child.pid });
    child.once('exit', (code, signal) => {
      this.options.record({ machine: name, type: 'process ended', code, signal });
      if (this.isWanted)
        this.timer = setTimeout(() => this.start(), this.delayMs ?? RESTART_DELAY_MS);
    });
  }

  /** Sends a signal to the process; after its end another one is started. */
  signal(signal, delayMs = RESTART_DELAY_MS) {
    this.delayMs = delayMs;
    this.child.kill(signal);
  }

  /** Ends the process for good. */
  async end() {
    this.isWanted = false;
    clearTimeout(this.timer);
    const { child } = this;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGKILL');
    await ended;
  }
}
