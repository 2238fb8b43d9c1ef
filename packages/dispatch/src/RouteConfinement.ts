import type { Route } from '@marjorammast/protocol';
import { compareText, createAgentRanking } from './chooseAgents';
import { CONFINED_SHARE, CONFINEMENT_MS } from './constants';

/** A confined route; `endsAt` is a monotonic time, in milliseconds. */
type Confinement = { service: string; endsAt: number; rankOf: (agent: string) => string };

/**
 * Confines routes whose tasks crash workers to a part of the workers of their service (bulkhead). Load
 * pattern: many jobs of one route have a task that crashes the worker that starts it. The first crash of
 * each job cannot be foreseen, and without a limit all workers are down at once, for all routes. The part
 * is chosen by a hash of the route's name, so that all entries choose the same one.
 */
export class RouteConfinement {
  private readonly confinements = new Map<string, Confinement>();

  private constructor() {}

  /** @returns no confined routes */
  static create(): RouteConfinement {
    return new RouteConfinement();
  }

  /**
   * Confines a route, or prolongs its confinement.
   *
   * @param route - the route
   * @returns true when the route was not confined before
   */
  confine({ name, service }: Pick<Route, 'name' | 'service'>): boolean {
    const wasConfined = this.isConfined(name);
    const rankOf = this.confinements.get(name)?.rankOf ?? createAgentRanking(name);
    this.confinements.set(name, { service, rankOf, endsAt: performance.now() + CONFINEMENT_MS });
    return !wasConfined;
  }

  /**
   * @param route - name of a route
   * @returns true while the route is confined
   */
  isConfined(route: string): boolean {
    return performance.now() < (this.confinements.get(route)?.endsAt ?? 0);
  }

  /**
   * @param service - name of a service
   * @returns names of its confined routes
   */
  routesOf(service: string): string[] {
    return [...this.confinements]
      .filter(([route, confinement]) => confinement.service === service && this.isConfined(route))
      .map(([route]) => route);
  }

  /**
   * Chooses the agents on whose workers a confined route runs.
   *
   * @param route - name of the route
   * @param agents - names of all agents of its service, whether or not they take tasks at present
   * @returns names of the chosen agents
   */
  chooseAgents(route: string, agents: readonly string[]): string[] {
    const rankOf = this.confinements.get(route)?.rankOf ?? createAgentRanking(route);
    return [...agents]
      .sort((a, b) => compareText(rankOf(a), rankOf(b)))
      .slice(0, Math.ceil(agents.length * CONFINED_SHARE));
  }
}
