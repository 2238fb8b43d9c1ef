import { decodeGeneration, encodeRegistration, registrationKey } from '@marjorammast/protocol';
import type { GenerationRenewal, RegisteredProcess } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import type { KeyValueStore } from './KeyValueStore';
import { repeatRegistration } from './repeatRegistration';
import type { StoredValue } from './Store';

/** Dependencies of the registration of an agent. */
export type AgentRegistrationOptions = {
  store: Pick<KeyValueStore, 'read' | 'write'>;
  /** The agent under whose name the process registers. */
  agent: RegisteredProcess;
  /** Identifier that no other process has. */
  processId: string;
  /** Uniform random numbers in [0, 1), for the jitter of retries. */
  random: () => number;
  log: Log;
};

/** The registration that this process has written last. */
type Written = { generation: number; revision: number };

/**
 * Registration of an agent in the store. It numbers the processes of the agent: each writes the generation above the
 * one that it finds, on condition that nobody has written in between. So the last to register has the highest
 * generation, and a process that was paused or replaced can't get one above it. A write that fails is repeated after
 * another read and a growing pause, not at once as by `swap`: all agents of a deployment may start together.
 */
export class AgentRegistration {
  private written: Written | undefined;

  private readonly key: string;

  private constructor(private readonly options: AgentRegistrationOptions) {
    this.key = registrationKey('agents', options.agent.name);
  }

  /**
   * @param options - dependencies
   * @returns a registration that has not been written
   */
  static create(options: AgentRegistrationOptions): AgentRegistration {
    return new AgentRegistration(options);
  }

  /**
   * Writes the registration, and repeats this until the store has answered.
   *
   * @returns the generation of this process
   */
  async register(): Promise<number> {
    const { agent, random, log } = this.options;
    const generation = await repeatRegistration(() => this.claim(), { random, log });
    log.info({ address: agent.address, generation }, 'registered');
    return generation;
  }

  /**
   * Writes a higher generation, unless another process has registered since this one.
   *
   * @returns the new generation, or why there is none
   */
  async renew(): Promise<GenerationRenewal> {
    const { written } = this;
    if (!written) return { type: 'unanswered', detail: 'not registered yet' };
    try {
      const generation = await this.write(written.generation + 1, written.revision);
      if (generation !== undefined) return { type: 'renewed', generation };
      const own = this.takeOver(await this.find());
      return own === undefined ? { type: 'replaced' } : { type: 'renewed', generation: own };
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return { type: 'unanswered', detail };
    }
  }

  private async claim(): Promise<number | undefined> {
    const found = await this.find();
    const own = this.takeOver(found);
    if (own !== undefined) return own;
    const last = found && decodeGeneration(found.value);
    if (found && !last) this.options.log.warn({ key: this.key }, 'generation_missing');
    return this.write((last?.generation ?? 0) + 1, found?.revision ?? 0);
  }

  private async find(): Promise<StoredValue | undefined> {
    const { values } = await this.options.store.read(this.key);
    return values.find(({ key }) => key === this.key);
  }

  /** Takes over a registration that this process has written, although the answer to the write was lost. */
  private takeOver(found: StoredValue | undefined): number | undefined {
    const last = found && decodeGeneration(found.value);
    if (!found || last?.process !== this.options.processId) return undefined;
    this.written = { generation: last.generation, revision: found.revision };
    return last.generation;
  }

  /** Returns `undefined` when another write came before. */
  private async write(generation: number, expectedRevision: number): Promise<number | undefined> {
    const { store, agent, processId } = this.options;
    const value = encodeRegistration(agent, { generation, process: processId });
    const expected = [{ key: this.key, revision: expectedRevision }];
    const result = await store.write(this.key, value, expected);
    if (result.type === 'conflict') return undefined;
    this.written = { generation, revision: result.revision };
    return generation;
  }
}
