import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import { CALL_TIMEOUT_MS } from './constants';
import { callSchemas } from './messages';
import type { Method, Params, Result } from './messages';

/** Why a call between two processes got no result. */
export type CallFault =
  /** The link was closed before anything was sent: the call did not arrive. */
  | 'notSent'
  /** The link closed, or time ran out, after the call was sent. */
  | 'lost'
  /** The other process answered with an error. */
  | 'remote';

/** A call between two processes that got no result. */
export class CallError extends Error {
  private constructor(
    readonly fault: CallFault,
    message: string,
  ) {
    super(message);
  }

  /**
   * @param fault - what happened
   * @param message - text for a person
   * @returns the error
   */
  static create(fault: CallFault, message: string): CallError {
    return new CallError(fault, message);
  }
}

/** What a link needs of its transport. */
export type Transport = {
  /** Sends one message; throws when it was certainly not sent. */
  write: (message: unknown) => void;
  close: () => void;
};

/** Functions that answer calls, given the link that a call came on. */
export type Handlers = {
  [M in Method]?: (params: Params<M>, link: Link) => Promise<Result<M>> | Result<M>;
};

/** Answers the calls of any number of links. */
export type CallServer = JSONRPCServer<Link>;

/**
 * Creates a server, to be shared by all links of a process.
 *
 * @param handlers - one function for each method
 * @returns the server
 */
export const createCallServer = (handlers: Handlers): CallServer => {
  const server = new JSONRPCServer<Link>({ errorListener: () => undefined });
  (Object.keys(handlers) as Method[]).forEach((method) => {
    const handler = handlers[method] as (params: unknown, link: Link) => unknown;
    const { params: schema } = callSchemas[method];
    server.addMethod(method, async (params, link) => handler(schema.parse(params), link));
  });
  return server;
};

/** Two-way calls with one other process over one ordered transport. */
export class Link {
  private readonly rpc: JSONRPCServerAndClient<Link>;

  private readonly closeListeners: (() => void)[] = [];

  private open = true;

  private constructor(
    readonly name: string,
    private readonly transport: Transport,
    server: CallServer,
  ) {
    this.rpc = new JSONRPCServerAndClient(
      server,
      new JSONRPCClient((message) => transport.write(message)),
      { errorListener: () => undefined },
    );
  }

  /**
   * @param name - name of the other process, for logs
   * @param transport - carries the messages
   * @param server - answers the other process's calls
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
   * @param method - name of the call
   * @param params - its parameters
   * @param timeoutMs - time to wait for the result, in milliseconds; 0 waits while the link is open
   * @returns the result
   * @throws CallError when there is none
   */
  async call<M extends Method>(
    method: M,
    params: Params<M>,
    timeoutMs: number = CALL_TIMEOUT_MS,
  ): Promise<Result<M>> {
    if (!this.open) throw CallError.create('notSent', `link to ${this.name} is closed`);
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      if (timeoutMs <= 0) return;
      const expire = () => reject(CallError.create('lost', `${method} to ${this.name} timed out`));
      timer = setTimeout(expire, timeoutMs);
    });
    try {
      const result = await Promise.race([this.rpc.request(method, params), timeout]);
      return callSchemas[method].result.parse(result) as Result<M>;
    } catch (error) {
      throw this.faultOf(error);
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Sends a call whose result nobody waits for; it is dropped when the link is closed.
   *
   * @param method - name of the call
   * @param params - its parameters
   */
  notify<M extends Method>(method: M, params: Params<M>): void {
    if (this.open) this.rpc.notify(method, params);
  }

  /**
   * Takes one message from the transport.
   *
   * @param message - decoded message
   */
  receive(message: unknown): void {
    if (this.open) void this.rpc.receiveAndSend(message as never, this).catch(() => undefined);
  }

  /**
   * Registers a function to run once when the link closes.
   *
   * @param listener - the function
   */
  onClose(listener: () => void): void {
    this.closeListeners.push(listener);
  }

  /** Closes the link; calls in progress end as lost. */
  close(): void {
    if (!this.open) return;
    this.open = false;
    this.transport.close();
    this.rpc.rejectAllPendingRequests('link closed');
    this.closeListeners.forEach((listener) => listener());
  }

  private faultOf(error: unknown): CallError {
    if (error instanceof CallError) return error;
    const message = error instanceof Error ? error.message : String(error);
    return CallError.create(this.open ? 'remote' : 'lost', message);
  }
}
