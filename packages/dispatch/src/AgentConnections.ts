import type { AdmissionRules, Link, RegisteredProcess } from '@marjorammast/protocol';
import { AgentConnection } from './AgentConnection';
import type { AgentConnectionHost } from './AgentConnection';
import { chooseAgents, createAgentRanking } from './chooseAgents';
import { DIALS_AT_ONCE, DIAL_INTERVAL_MS } from './constants';

/** What the connections need from their entry. */
export type AgentConnectionsHost = AgentConnectionHost & {
  /** Data centre of the entry. */
  dataCenter: string;
  /** Called with the name of an agent to which the entry no longer connects. */
  onForgotten: (agent: string) => void;
};

/** The connections of an entry to the agents that it has chosen among the registered ones. */
export class AgentConnections {
  private readonly connections = new Map<string, AgentConnection>();

  private readonly rankOf: (agent: string) => string;

  private registered: readonly RegisteredProcess[] = [];

  private constructor(private readonly host: AgentConnectionsHost) {
    this.rankOf = createAgentRanking(host.entry);
  }

  /**
   * @param host - what the connections need from their entry
   * @returns an object without connections
   */
  static create(host: AgentConnectionsHost): AgentConnections {
    return new AgentConnections(host);
  }

  /** Number of agents that are attached. */
  get attachedCount(): number {
    return this.all.filter(({ view }) => view).length;
  }

  /** Number of attached agents whose workers are in the state `open`. */
  get openWorkers(): number {
    return this.all.filter(({ view }) => view?.state === 'open').length;
  }

  /** @returns all connections, also those that are not attached */
  values(): Iterable<AgentConnection> {
    return this.connections.values();
  }

  /**
   * @param agent - name of an agent
   * @returns the connection to it, if there is one
   */
  find(agent: string): AgentConnection | undefined {
    return this.connections.get(agent);
  }

  /**
   * @param link - a link
   * @returns the connection that uses it, if there is one
   */
  findByLink(link: Link): AgentConnection | undefined {
    return this.all.find((connection) => connection.usesLink(link));
  }

  /**
   * @param service - name of a service
   * @returns true when one of its workers is attached and not closed
   */
  hasWorkersOf(service: string): boolean {
    return this.all.some(({ view }) => view?.service === service && view.state !== 'closed');
  }

  /**
   * Replaces the list of registered agents and updates the connections.
   *
   * @param agents - all agents registered in the store
   */
  updateAgents(agents: readonly RegisteredProcess[]): void {
    this.registered = agents;
    this.update();
  }

  /**
   * Sends newer rules to the attached agents and chooses the agents anew.
   *
   * @param rules - the rules, which the host returns from now on too
   */
  applyRules(rules: AdmissionRules): void {
    this.connections.forEach((connection) => connection.sendRules(rules));
    this.update();
  }

  /** Closes all connections for good. */
  closeAll(): void {
    this.connections.forEach((connection) => connection.close());
  }

  private get all(): AgentConnection[] {
    return [...this.connections.values()];
  }

  private update(): void {
    const { dataCenter, rules } = this.host;
    const chosen = chooseAgents(this.registered, this.rankOf, dataCenter, rules().outDataCenters);
    const names = new Set(chosen.map(({ name }) => name));
    this.connections.forEach((connection, name) => {
      // A working connection is kept, even when the agent is no longer registered in the store.
      if (names.has(name) || connection.view) return;
      connection.close();
      this.connections.delete(name);
      this.host.onForgotten(name);
    });
    chosen
      .filter(({ name, address }) => this.connections.get(name)?.agent.address !== address)
      .forEach((agent, index) => this.connectTo(agent, index));
  }

  /**
   * Connects to an agent. After a start the entry first connects to some agents, so that it serves its
   * first jobs before it has connected to all.
   *
   * @param agent - the agent
   * @param index - number of agents to which the entry connects before it
   */
  private connectTo(agent: RegisteredProcess, index: number): void {
    this.connections.get(agent.name)?.close();
    const delayMs = Math.max(0, index + 1 - DIALS_AT_ONCE) * DIAL_INTERVAL_MS;
    this.connections.set(agent.name, AgentConnection.create(agent, this.host, delayMs));
  }
}
