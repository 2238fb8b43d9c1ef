import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import type * as z from 'zod';
import { CALL_TIMEOUT_MS } from './constants';
import { callSchemas } from './messages';
import { parseReport, reasonOf } from './parseReport';
import { setIoTimeout } from './setIoTimeout';
import type { Method, Params, Result } from './messages';

/** Why a remote call failed. */
export type CallFault =
  /** Nothing was sent, so the call did not reach the other process. */
  | 'notSent'
  /** The link closed or the timeout passed after the call was sent; it may have been handled. */
  | 'lost'
  /**
   * The other process answered with an error or with an invalid result, or the transport rejected
   * the message while the link was open.
   */
  | 'remote';

/** Failure of a remote call. */
export class CallError extends Error {
  private constructor(
    readonly fault: CallFault,
    message: string,
  ) {
    super(message);
  }

  /**
   * @param fault - why the call failed
   * @param message - human-readable description
   * @returns the error
   */
  static create(fault: CallFault, message: string): CallError {
    return new CallError(fault, message);
  }
}

/** Ordered transport under a link. */
export type Transport = {
  /** Sends one message; throws when it was certainly not sent. */
  write: (message: unknown) => void;
  close: () => void;
};

/** Handlers of calls by method; each also receives the link on which the call arrived. */
export type Handlers = {
  [M in Method]?: (params: Params<M>, link: Link) => Promise<Result<M>> | Result<M>;
};

/** A message of another process that could not be handled. */
export type LinkFault = {
  /** Name of the link on which it arrived. */
  peer: string;
  /** Method of the call; `undefined` for a message that is not a call. */
  method?: string;
  reason: string;
};

/** Handles the calls that arrive on any number of links. */
export type CallServer = {
  rpc: JSONRPCServer<Link>;
  onFault: (fault: LinkFault) => void;
};

/** Calls that report what has happened. An order with an odd row is refused as a whole. */
const REPORTS: ReadonlySet<Method> = new Set<Method>([
  'ended',
  'crash',
  'attach',
  'unsettled',
  'bound',
]);

const parse = (
  method: Method,
  schema: z.ZodType,
  message: unknown,
  onOddRows: (reason: string) => void,
): unknown =>
  REPORTS.has(method) ? parseReport(schema, message, onOddRows) : schema.parse(message);

/**
 * Creates a call server, which all links of a process share.
 *
 * @param handlers - one handler for each method
 * @param onFault - called for each message that could not be handled
 * @returns the server
 */
export const createCallServer = (
  handlers: Handlers,
  onFault: (fault: LinkFault) => void,
): CallServer => {
  // The library reports errors without the link, so they are reported where the link is known.
  const rpc = new JSONRPCServer<Link>({ errorListener: () => undefined });
  (Object.keys(handlers) as Method[]).forEach((method) => {
    const handler = handlers[method] as (params: unknown, link: Link) => unknown;
    const { params: schema } = callSchemas[method];
    rpc.addMethod(method, async (params, link) => {
      try {
        const report = (reason: string) => onFault({ peer: link.name, method, reason });
        return await handler(parse(method, schema, params, report), link);
      } catch (error) {
        const reason = reasonOf(error);
        onFault({ peer: link.name, method, reason });
        // The answer carries this text too.
        throw new Error(reason);
      }
    });
  });
  return { rpc, onFault };
};

/** Bidirectional remote calls with one other process over one ordered transport. */
export class Link {
  private readonly rpc: JSONRPCServerAndClient<Link>;

  private readonly closeListeners: (() => void)[] = [];

  private open = true;

  private constructor(
    readonly name: string,
    private readonly transport: Transport,
    private readonly server: CallServer,
  ) {
    this.rpc = new JSONRPCServerAndClient(
      server.rpc,
      new JSONRPCClient((message) => transport.write(message)),
      { errorListener: (message) => this.reportFault(message) },
    );
  }

  /**
   * @param name - name of the other process, for logs
   * @param transport - carries the messages
   * @param server - handles the other process's calls
   * @returns an open link
   */
  static create(name: string, transport: Transport, server: CallServer): Link {
    return new Link(name, transport, server);
  }

  /** True until the link is closed by either side. */
  get isOpen(): boolean {
    return this.open;
  }

  /**
   * Calls the other process.
   *
   * @param method - method to call
   * @param params - parameters of the call
   * @param timeoutMs - timeout, in milliseconds; 0 waits as long as the link is open
   * @returns the result
   * @throws CallError when the call fails
   */
  async call<M extends Method>(
    method: M,
    params: Params<M>,
    timeoutMs: number = CALL_TIMEOUT_MS,
  ): Promise<Result<M>> {
    if (!this.open) throw CallError.create('notSent', `link to ${this.name} is closed`);
    let clearCallTimeout = (): void => undefined;
    const timeout = new Promise<never>((_, reject) => {
      if (timeoutMs <= 0) return;
      const expire = () => reject(CallError.create('lost', `${method} to ${this.name} timed out`));
      clearCallTimeout = setIoTimeout(expire, timeoutMs);
    });
    try {
      const result = await Promise.race([this.rpc.request(method, params), timeout]);
      const { result: schema } = callSchemas[method];
      const report = (reason: string) => this.server.onFault({ peer: this.name, method, reason });
      return parse(method, schema, result, report) as Result<M>;
    } catch (error) {
      throw this.toCallError(error);
    } finally {
      clearCallTimeout();
    }
  }

  /**
   * Sends a call without waiting for its result. A call on a closed link is dropped.
   *
   * @param method - method to call
   * @param params - parameters of the call
   */
  notify<M extends Method>(method: M, params: Params<M>): void {
    if (this.open) this.rpc.notify(method, params);
  }

  /**
   * Handles one message from the transport.
   *
   * @param message - the decoded message
   */
  receive(message: unknown): void {
    if (!this.open) return;
    this.rpc.receiveAndSend(message as never, this).catch((error) => {
      // The answer to a call cannot be sent once the link has closed.
      if (this.open) this.reportFault(error);
    });
  }

  /**
   * Registers a listener for the closing of the link.
   *
   * @param listener - called once
   */
  onClose(listener: () => void): void {
    this.closeListeners.push(listener);
  }

  /** Closes the link; calls in progress fail as `lost`. */
  close(): void {
    if (!this.open) return;
    this.open = false;
    this.transport.close();
    this.rpc.rejectAllPendingRequests('link closed');
    this.closeListeners.forEach((listener) => listener());
  }

  /**
   * Reports a message that could not be handled.
   *
   * @param error - why
   */
  reportFault(error: unknown): void {
    this.server.onFault({ peer: this.name, reason: reasonOf(error) });
  }

  private toCallError(error: unknown): CallError {
    if (error instanceof CallError) return error;
    const message = reasonOf(error);
    return CallError.create(this.open ? 'remote' : 'lost', message);
  }
}
