import type { Params, Result } from '@marjorammast/protocol';
import type { AgentController } from './AgentController';

/** Dependencies of the credit exchange. */
export type CreditExchangeHost = {
  name: string;
  agents: AgentController;
  peers: () => string[];
  askPeer: (peer: string, params: Params<'credits'>) => Promise<Result<'credits'>>;
  queuedTasks: () => number;
};

/** Maximum number of credits in one request. */
const MAX_WANTED = 512;

/** Moves idle credits from entries without waiting tasks to entries with waiting tasks. */
export class CreditExchange {
  private peerIndex = 0;

  private constructor(private readonly host: CreditExchangeHost) {}

  /**
   * @param host - dependencies
   * @returns the exchange
   */
  static create(host: CreditExchangeHost): CreditExchange {
    return new CreditExchange(host);
  }

  /**
   * Requests credits from one peer. Successive requests go to the peers in round-robin order.
   *
   * @param want - number of waiting tasks
   * @param pressure - number of waiting tasks per credit that this entry holds
   * @returns the number of credits received
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
      usable.forEach(({ agent, credit }) => host.agents.creditPool.add(agent, [credit]));
      return usable.length;
    } catch {
      return 0;
    }
  }

  /**
   * Gives a peer up to half of the idle credits, or none while tasks wait at this entry.
   *
   * @param params - request of the peer
   * @returns the credits, which this entry no longer holds
   */
  give({ want }: Params<'credits'>): Result<'credits'> {
    const { agents, queuedTasks } = this.host;
    const spare = queuedTasks() > 0 ? 0 : Math.ceil(agents.creditPool.size / 2);
    const credits = agents.creditPool.takeMany(Math.min(want, spare)).map(({ agent, credit }) => ({
      agent,
      incarnation: agents.find(agent)?.incarnation ?? '',
      credit,
    }));
    return { credits };
  }
}
