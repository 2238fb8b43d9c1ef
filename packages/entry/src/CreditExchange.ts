import type { Params, Result } from '@marjorammast/protocol';
import type { AgentController } from './AgentController';

/** What the exchange of credits needs of the entry. */
export type CreditHost = {
  name: string;
  agents: AgentController;
  peers: () => string[];
  askPeer: (peer: string, params: Params<'credits'>) => Promise<Result<'credits'>>;
  queuedTasks: () => number;
};

/** Most credits asked for at one time. */
const MAX_WANTED = 512;

/** Moves idle credits to entries that have work for them. */
export class CreditExchange {
  private peerIndex = 0;

  private constructor(private readonly host: CreditHost) {}

  /**
   * @param host - what the exchange needs of the entry
   * @returns the exchange
   */
  static create(host: CreditHost): CreditExchange {
    return new CreditExchange(host);
  }

  /**
   * Asks one peer, the next in turn, for credits.
   *
   * @param want - number of tasks that wait
   * @param pressure - tasks that wait for each credit held
   * @returns the number of credits that came
   */
  async request(want: number, pressure: number): Promise<number> {
    const { host } = this;
    const peers = host.peers();
    if (peers.length === 0) return 0;
    this.peerIndex = (this.peerIndex + 1) % peers.length;
    const params = { from: host.name, want: Math.min(want, MAX_WANTED), pressure };
    try {
      const { credits } = await host.askPeer(peers[this.peerIndex] ?? '', params);
      const usable = credits.filter((offered) =>
        host.agents.find(offered.agent, offered.incarnation),
      );
      usable.forEach(({ agent, credit }) => host.agents.pool.add(agent, [credit]));
      return usable.length;
    } catch {
      return 0;
    }
  }

  /**
   * Gives a peer up to half of the idle credits, if no task waits here.
   *
   * @param params - what the peer asks for
   */
  give({ want }: Params<'credits'>): Result<'credits'> {
    const { agents, queuedTasks } = this.host;
    const spare = queuedTasks() > 0 ? 0 : Math.ceil(agents.pool.size / 2);
    const credits = agents.pool.takeMany(Math.min(want, spare)).map(({ agent, credit }) => ({
      agent,
      incarnation: agents.find(agent)?.incarnation ?? '',
      credit,
    }));
    return { credits };
  }
}
