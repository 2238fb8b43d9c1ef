import { match } from 'ts-pattern';
import { sleep } from '@marjorammast/protocol';
import type { GenerationRenewal } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { RENEWAL_PAUSE_MS } from './constants';

/** What the generation of a process is taken from, and who is told of it. */
export type ProcessGenerationHost = {
  /** Asks the store for a higher generation, which it grants to the process that has registered last. */
  renew: () => Promise<GenerationRenewal>;
  /** Called when the generation has risen. */
  onRaised: () => void;
  /** Called once when a newer process of the agent has registered. */
  onReplaced: () => void;
  log: Log;
};

/**
 * Generation of the agent's process: the place of its registration among those of all processes of the agent. The
 * worker refuses the commands of earlier generations.
 */
export class ProcessGeneration {
  private generation = 0;

  private isRenewing = false;

  private hasBeenReplaced = false;

  private constructor(private readonly host: ProcessGenerationHost) {}

  /**
   * @param host - source of generations and callbacks into the agent
   * @returns a generation that is not known yet
   */
  static create(host: ProcessGenerationHost): ProcessGeneration {
    return new ProcessGeneration(host);
  }

  /** The generation; 0 while it is not known, since the store has not answered. */
  get current(): number {
    return this.generation;
  }

  /** True when a newer process of the agent has registered. */
  get isReplaced(): boolean {
    return this.hasBeenReplaced;
  }

  /**
   * Takes over a generation that the store has granted.
   *
   * @param generation - the generation
   */
  raise(generation: number): void {
    if (generation <= this.generation) return;
    this.generation = generation;
    this.host.log.info({ generation }, 'generation_raised');
    this.host.onRaised();
  }

  /**
   * Handles the word of the worker that it has received a higher token than this process has sent. Whether this
   * process continues is decided by the store: it does unless a newer one has registered.
   */
  handleSuperseded(): void {
    const isKnown = this.generation > 0;
    if (isKnown && !this.isRenewing && !this.hasBeenReplaced) void this.renew();
  }

  private async renew(): Promise<void> {
    this.isRenewing = true;
    match(await this.host.renew())
      .with({ type: 'renewed' }, ({ generation }) => this.raise(generation))
      .with({ type: 'replaced' }, () => this.handleReplacement())
      .with({ type: 'unanswered' }, ({ detail }) =>
        this.host.log.warn({ detail }, 'generation_unanswered'),
      )
      .exhaustive();
    await sleep(RENEWAL_PAUSE_MS);
    this.isRenewing = false;
  }

  private handleReplacement(): void {
    this.hasBeenReplaced = true;
    this.host.log.error({ generation: this.generation }, 'process_replaced');
    this.host.onReplaced();
  }
}
