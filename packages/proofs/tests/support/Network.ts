import { Link } from '@marjorammast/protocol';
import type { CallServer } from '@marjorammast/protocol';
import { runInProcess, runOverdueTimers } from './processTimers';
import type { ProcessTimers } from './processTimers';

type Node = {
  name: string;
  server?: CallServer;
  isFrozen: boolean;
  /** Timers of its process, if they wait while it is frozen. */
  timers?: ProcessTimers;
  /** Outgoing pipes of the connections that this node is an end of. */
  pipes: Set<Pipe>;
};

/**
 * A message with the monotonic time at which it arrives at the earliest, in milliseconds. An empty
 * text tells that the sending end has closed.
 */
type Message = {
  text: string;
  dueAt: number;
  /** True when it waits in the socket of its receiver, which is frozen. */
  isReceived?: boolean;
};

/** Time until a connection attempt to an unreachable node fails, in milliseconds. */
const DIAL_TIMEOUT_MS = 1_500;

/**
 * One direction of a connection. It keeps messages in order, and holds them back while the
 * direction is cut or one of its ends is frozen.
 */
class Pipe {
  /** Link that sends its messages through this pipe. */
  link!: Link;

  private readonly queue: Message[] = [];

  private lastDueAt = 0;

  private constructor(
    private readonly network: Network,
    readonly from: Node,
    readonly to: Node,
    private readonly deliver: (text: string) => void,
    private readonly end: () => void,
  ) {}

  static create(
    network: Network,
    from: Node,
    to: Node,
    deliver: (text: string) => void,
    end: () => void,
  ): Pipe {
    return new Pipe(network, from, to, deliver, end);
  }

  send(text: string): void {
    // Jest's fake timers fire only at whole milliseconds.
    const dueAt = Math.max(this.lastDueAt, Math.ceil(performance.now() + this.network.latency()));
    this.lastDueAt = dueAt;
    this.queue.push({ text, dueAt });
    setTimeout(() => this.deliverDueMessages(), dueAt - performance.now());
  }

  /** Tells the other end, after all earlier messages, that this end has closed. */
  sendClose(): void {
    this.send('');
  }

  deliverDueMessages(): void {
    if (this.network.hasSocketBuffers && this.network.reachesSocket(this.from, this.to))
      this.queue
        .filter(({ dueAt }) => dueAt <= performance.now())
        .forEach((message) => Object.assign(message, { isReceived: true }));
    for (let [next] = this.queue; next && this.mayDeliver(next); [next] = this.queue) {
      const { text } = next;
      this.queue.shift();
      runInProcess(this.to.timers, () => (text === '' ? this.end() : this.deliver(text)));
    }
  }

  private mayDeliver({ dueAt, isReceived }: Message): boolean {
    if (isReceived) return !this.to.isFrozen;
    return this.network.passesMessages(this.from, this.to) && dueAt <= performance.now();
  }
}

/** Simulates connections between nodes in one process, with cuts, freezes and delays. */
export class Network {
  private readonly nodes = new Map<string, Node>();

  private readonly cuts = new Set<string>();

  private readonly pipes = new Set<Pipe>();

  private constructor(private readonly random: () => number) {}

  /**
   * @param random - uniform random numbers in [0, 1)
   * @returns a network without faults
   */
  static create(random: () => number): Network {
    return new Network(random);
  }

  /** Draws the one-way delay of a message, in milliseconds: mostly short, sometimes much longer. */
  latency(): number {
    return 0.5 + 3 * this.random() ** 4 + this.jitterMs * this.random() ** 8;
  }

  /** Greatest additional random delay of a message, in milliseconds. */
  jitterMs = 0;

  /** True when messages that have arrived at a frozen node wait in its socket, where no cut holds them back. */
  hasSocketBuffers = false;

  /** Makes a node accept connections. */
  listen(name: string, server: CallServer): void {
    this.getNode(name).server = server;
  }

  /** Kills a node: its connections close, and new ones to it are refused. */
  kill(name: string): void {
    const node = this.getNode(name);
    node.server = undefined;
    node.isFrozen = false;
    this.deliverAllDueMessages();
    [...node.pipes].forEach((pipe) => pipe.link.close());
    node.pipes.clear();
  }

  /** Freezes or resumes a node; no message reaches or leaves a frozen node. */
  freeze(name: string, isFrozen: boolean): void {
    const node = this.getNode(name);
    const { timers } = node;
    node.isFrozen = isFrozen;
    if (timers) timers.isFrozen = isFrozen;
    if (isFrozen) return;
    if (!timers?.overdue.length) {
      this.deliverAllDueMessages();
      return;
    }
    // The sockets are read after the overdue timers, and before what these leave for later.
    setImmediate(() => this.deliverAllDueMessages());
    runOverdueTimers(timers);
  }

  /**
   * Sets the timers of a node's process.
   *
   * @param name - name of the node
   * @param timers - the timers
   */
  setTimers(name: string, timers: ProcessTimers): void {
    this.getNode(name).timers = timers;
  }

  /** Tells whether a node is frozen. */
  isFrozen(name: string): boolean {
    return this.getNode(name).isFrozen;
  }

  /** Cuts or heals one direction between two nodes. */
  cut(from: string, to: string, isCut: boolean): void {
    if (isCut) this.cuts.add(`${from}>${to}`);
    else this.cuts.delete(`${from}>${to}`);
    if (!isCut) this.deliverAllDueMessages();
  }

  /** Tells whether messages pass from one node to another. */
  passesMessages(from: Node, to: Node): boolean {
    return !from.isFrozen && !to.isFrozen && !this.cuts.has(`${from.name}>${to.name}`);
  }

  /** Tells whether messages reach the socket of a node, which may be frozen. */
  reachesSocket(from: Node, to: Node): boolean {
    return !from.isFrozen && !this.cuts.has(`${from.name}>${to.name}`);
  }

  /** Tells whether calls of a node reach the store. */
  reachesStore(name: string): boolean {
    return !this.getNode(name).isFrozen && !this.cuts.has(`${name}>store`);
  }

  /**
   * Opens a connection.
   *
   * @param fromName - name of the node that connects
   * @param toName - name of the node to connect to
   * @param nearServer - answers calls at the connecting end
   * @returns the link at the connecting end
   * @throws Error when the other node cannot be reached or refuses the connection
   */
  async dial(fromName: string, toName: string, nearServer: CallServer): Promise<Link> {
    const from = this.getNode(fromName);
    const to = this.getNode(toName);
    const startedAt = performance.now();
    while (!this.passesMessages(from, to) || !this.passesMessages(to, from)) {
      if (performance.now() - startedAt > DIAL_TIMEOUT_MS) throw new Error('ETIMEDOUT');
      await this.waitLatency();
    }
    await this.waitLatency();
    const { server } = to;
    if (!server) throw new Error('ECONNREFUSED');
    return this.connect(from, to, nearServer, server);
  }

  private connect(from: Node, to: Node, nearServer: CallServer, farServer: CallServer): Link {
    let near: Link | undefined;
    let far: Link | undefined;
    const out = Pipe.create(
      this,
      from,
      to,
      (text) => far?.receive(JSON.parse(text)),
      () => far?.close(),
    );
    const back = Pipe.create(
      this,
      to,
      from,
      (text) => near?.receive(JSON.parse(text)),
      () => near?.close(),
    );
    near = this.createEnd(to.name, out, from, nearServer);
    far = this.createEnd(from.name, back, to, farServer);
    return near;
  }

  private createEnd(name: string, pipe: Pipe, node: Node, server: CallServer): Link {
    const link = Link.create(
      name,
      {
        write: (message) => pipe.send(JSON.stringify(message)),
        close: () => pipe.sendClose(),
      },
      server,
    );
    pipe.link = link;
    node.pipes.add(pipe);
    this.pipes.add(pipe);
    return link;
  }

  private deliverAllDueMessages(): void {
    this.pipes.forEach((pipe) => pipe.deliverDueMessages());
  }

  private waitLatency(): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, this.latency());
    });
  }

  private getNode(name: string): Node {
    const known = this.nodes.get(name);
    if (known) return known;
    const node: Node = { name, isFrozen: false, pipes: new Set() };
    this.nodes.set(name, node);
    return node;
  }
}
