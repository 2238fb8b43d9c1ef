import type {
  BoundTaskRows,
  Link,
  Method,
  OperatorState,
  Params,
  RegisteredProcess,
  Result,
} from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { ATTACH_TIMEOUT_MS } from './constants';

/**
 * Maximum number of rows in the first message on a connection. Until a valid message has arrived, the other entry
 * takes lines of 256 KiB only, and 4 MiB afterwards.
 */
const MAX_FIRST_MESSAGE_ROWS = 500;

/** Dependencies of a peer client. */
export type PeerClientOptions = {
  /** Name of this entry. */
  entry: string;
  dial: (address: string) => Promise<Link>;
  /** Uniform random numbers in [0, 1). */
  random: () => number;
  log: Log;
};

/** Calls other entries, over a connection for each call: such calls are rare. */
export class PeerClient {
  private peers: readonly RegisteredProcess[] = [];

  private constructor(private readonly options: PeerClientOptions) {}

  /**
   * @param options - dependencies of the client
   * @returns a client without a list of entries
   */
  static create(options: PeerClientOptions): PeerClient {
    return new PeerClient(options);
  }

  /**
   * Replaces the list of registered entries.
   *
   * @param entries - all entries registered in the store, including this one
   */
  updatePeers(entries: readonly RegisteredProcess[]): void {
    this.peers = entries.filter(({ name }) => name !== this.options.entry);
  }

  /** Names of the other registered entries. */
  get peerNames(): string[] {
    return this.peers.map(({ name }) => name);
  }

  /**
   * Tells one entry of bound tasks. When it can't be reached, that is logged.
   *
   * @param name - name of the entry
   * @param bound - rows of job, task index, name of the agent and identifier of its worker
   */
  async tellBoundTasks(name: string, bound: BoundTaskRows): Promise<void> {
    const peer = this.peers.find((other) => other.name === name);
    if (!peer) return;
    try {
      const first = bound.slice(0, MAX_FIRST_MESSAGE_ROWS);
      const rest = bound.slice(MAX_FIRST_MESSAGE_ROWS);
      await this.call(peer, 'bound', [
        { bound: first },
        ...(rest.length > 0 ? [{ bound: rest }] : []),
      ]);
      this.options.log.info({ peer: name, tasks: bound.length }, 'bound_tasks_told');
    } catch (error) {
      this.logFailure(peer, error);
    }
  }

  /**
   * Asks one entry, chosen at random.
   *
   * @returns the operator state of that entry, or `undefined` when it has none or does not answer
   */
  async fetch(): Promise<OperatorState | undefined> {
    const peer = this.peers[Math.floor(this.options.random() * this.peers.length)];
    if (!peer) return undefined;
    try {
      const [answer] = await this.call(peer, 'operatorState', [{}]);
      const state = answer?.state;
      const { revision, version } = state ?? {};
      this.options.log.info({ peer: peer.name, revision, version }, 'state_from_peer');
      return state;
    } catch (error) {
      this.logFailure(peer, error);
      return undefined;
    }
  }

  private async call<M extends Method>(
    { address }: RegisteredProcess,
    method: M,
    messages: Params<M>[],
  ): Promise<Result<M>[]> {
    const link = await this.options.dial(address);
    try {
      return await Promise.all(
        messages.map((params) => link.call(method, params, ATTACH_TIMEOUT_MS)),
      );
    } finally {
      link.close();
    }
  }

  private logFailure({ name }: RegisteredProcess, error: unknown): void {
    const detail = error instanceof Error ? error.message : String(error);
    this.options.log.warn({ peer: name, detail }, 'peer_unreachable');
  }
}
