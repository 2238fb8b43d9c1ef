import type { Route } from '@marjorammast/protocol';
import type { RouteConfinement } from './RouteConfinement';
import type { WorkerRooms } from './WorkerRooms';

/** Finds the workers that the jobs of a route may use. */
export type RoomFinder = (route: Route) => WorkerRooms;

/**
 * Creates the room finder of one dispatch pass. A confined route uses only its part of the workers, and
 * the other routes of the service use that part only when there is no room elsewhere.
 *
 * @param findRooms - finds the workers of a service; the result is kept
 * @param confinement - the confined routes
 * @returns the room finder
 */
export const createRoomFinder = (
  findRooms: (service: string) => WorkerRooms,
  confinement: RouteConfinement,
): RoomFinder => {
  const roomsByService = new Map<string, WorkerRooms>();
  const roomsByRoute = new Map<string, WorkerRooms>();
  const findOfRoute = ({ name, service }: Route): WorkerRooms => {
    const rooms = roomsByService.get(service) ?? findRooms(service);
    roomsByService.set(service, rooms);
    const confinedRoutes = confinement.routesOf(service);
    if (confinedRoutes.length === 0) return rooms;
    if (confinedRoutes.includes(name)) {
      return rooms.restrictTo((agents) => confinement.chooseAgents(name, agents));
    }
    return rooms.avoid(
      confinedRoutes.flatMap((route) => confinement.chooseAgents(route, rooms.agents)),
    );
  };
  return (route) => {
    const rooms = roomsByRoute.get(route.name) ?? findOfRoute(route);
    roomsByRoute.set(route.name, rooms);
    return rooms;
  };
};
