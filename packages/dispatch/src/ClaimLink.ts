import { CallError, setIoTimeout } from '@marjorammast/protocol';
import type { Link, Params, RegisteredProcess, Result } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { CLAIM_RETRY_MS, CLAIM_TIMEOUT_MS, RUN_EXPIRY_MS } from './constants';

/** What a claim link needs from its entry. */
export type ClaimLinkHost = {
  dial: (address: string) => Promise<Link>;
  /** Called when the connection is lost: the other entry may not know the claims any more. */
  onLost: () => void;
  log: Log;
};

/** Answer of another entry to claims. */
export type ClaimAnswer =
  | { type: 'answered'; result: Result<'claimJobs'> }
  /** No process listens there, and the runs of an earlier one are over. */
  | { type: 'absent' }
  /** It is not known what jobs it has. */
  | { type: 'silent' };

const isRefused = (error: unknown): boolean =>
  error instanceof Error &&
  /ECONNREFUSED/.test(`${(error as NodeJS.ErrnoException).code} ${error.message}`);

/** Rejects after the time allowed for a connection. A connection that is opened later is closed. */
const openInTime = (opening: Promise<Link>): Promise<Link> =>
  new Promise((resolve, reject) => {
    let isLate = false;
    const clearOpenTimeout = setIoTimeout(() => {
      isLate = true;
      reject(CallError.create('notSent', 'connection timed out'));
    }, CLAIM_TIMEOUT_MS);
    opening.then(
      (link) => {
        clearOpenTimeout();
        if (isLate) link.close();
        else resolve(link);
      },
      (error: unknown) => {
        clearOpenTimeout();
        reject(error instanceof Error ? error : new Error(String(error)));
      },
    );
  });

/** The connection to another entry at which this one claims jobs. */
export class ClaimLink {
  private opening: Promise<Link> | undefined;

  private openLink: Link | undefined;

  /** Connections that this entry has closed itself. */
  private readonly closedLinks = new WeakSet<Link>();

  /** Monotonic time of the first of the refused connections, in milliseconds. */
  private refusedSince: number | undefined;

  private silentUntil = 0;

  private constructor(
    readonly peer: RegisteredProcess,
    private readonly host: ClaimLinkHost,
  ) {}

  /**
   * @param peer - the other entry
   * @param host - what the link needs from its entry
   * @returns a link that is not open
   */
  static create(peer: RegisteredProcess, host: ClaimLinkHost): ClaimLink {
    return new ClaimLink(peer, host);
  }

  /**
   * Claims jobs. An entry that did not answer lately is not asked.
   *
   * @param params - the jobs
   * @returns the answer
   */
  async claim(params: Params<'claimJobs'>): Promise<ClaimAnswer> {
    if (performance.now() < this.silentUntil) return { type: 'silent' };
    try {
      this.opening ??= this.open();
      const link = await this.opening;
      const result = await link.call('claimJobs', params, CLAIM_TIMEOUT_MS);
      return { type: 'answered', result };
    } catch (error) {
      return this.handleFailure(error);
    }
  }

  /**
   * Sends a message if the connection is open: a VM that has lost power and runs another process since closes it then.
   *
   * @param params - a claim of no jobs
   */
  beat(params: Params<'claimJobs'>): void {
    this.openLink?.notify('claimJobs', params);
  }

  /** Closes the connection for good. */
  close(): void {
    this.reset();
  }

  private async open(): Promise<Link> {
    const link = await openInTime(this.host.dial(this.peer.address));
    this.refusedSince = undefined;
    this.openLink = link;
    link.onClose(() => {
      if (this.closedLinks.has(link)) return;
      this.opening = undefined;
      this.host.onLost();
    });
    return link;
  }

  /** The other entry keeps the claims that it has confirmed, also when the connection is closed from here. */
  private reset(): void {
    const { opening } = this;
    this.opening = undefined;
    this.openLink = undefined;
    opening?.then(
      (link) => {
        this.closedLinks.add(link);
        link.close();
      },
      // The claim that has waited for the connection reports why there is none.
      () => undefined,
    );
  }

  private handleFailure(error: unknown): ClaimAnswer {
    const now = performance.now();
    this.reset();
    const detail = error instanceof Error ? error.message : String(error);
    // All claims that have waited for one connection fail with it.
    if (now >= this.silentUntil) {
      this.host.log.warn({ peer: this.peer.name, detail }, 'claim_unanswered');
    }
    if (!isRefused(error)) {
      this.refusedSince = undefined;
      this.silentUntil = now + CLAIM_RETRY_MS;
      return { type: 'silent' };
    }
    this.refusedSince ??= now;
    return { type: now - this.refusedSince > RUN_EXPIRY_MS ? 'absent' : 'silent' };
  }
}
