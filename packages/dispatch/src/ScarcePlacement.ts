import type { Log } from '@marjorammast/telemetry';
import { fastFirst, spareFast, waitForFast } from './placementRule';
import type { PlacementRule } from './placementRule';
import { RouteRunTimes } from './RouteRunTimes';
import { ScarceRoom } from './ScarceRoom';

/** How an entry places tasks on workers of different speed; a part that is absent is off. */
export type PlacementOptions = {
  /** Spares the fast workers while their free capacity is scarce. */
  scarceRoom?: boolean;
  /** Meanwhile, tasks that would miss their objective on a slower worker wait for a fast one. */
  waitForFast?: boolean;
};

/** Chooses the placement rule of each service by how scarce its fast capacity is. */
export class ScarcePlacement {
  private readonly rooms = new Map<string, ScarceRoom>();

  private readonly runTimes = RouteRunTimes.create();

  private constructor(
    private readonly options: PlacementOptions,
    private readonly log: Log,
  ) {}

  /**
   * @param options - what is switched on
   * @param log - log of the entry
   * @returns the state of an entry that has placed nothing
   */
  static create(options: PlacementOptions, log: Log): ScarcePlacement {
    return new ScarcePlacement(options, log);
  }

  /** Whether anything is switched on; otherwise the other methods have no effect. */
  get isOn(): boolean {
    return this.options.scarceRoom ?? false;
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns number of services whose fast capacity is scarce
   */
  countScarce(now: number): number {
    return [...this.rooms.values()].filter((room) => room.isScarce(now)).length;
  }

  /**
   * Records how much fast capacity of a service is free at the beginning of a dispatch pass.
   *
   * @param service - name of the service
   * @param freeShare - free part of the capacity of its fast workers, from 0 to 1
   * @param now - monotonic time, in milliseconds
   */
  recordFreeShare(service: string, freeShare: number, now: number): void {
    const change = this.roomOf(service).recordFreeShare(freeShare, now);
    if (!change) return;
    const { isScarce, durationMs } = change;
    this.log.info({ service, scarce: isScarce, since: Math.round(durationMs) }, 'room_scarce');
  }

  /**
   * Records that a job of a service still waits after its turn in a dispatch pass.
   *
   * @param service - name of the service
   * @param now - monotonic time, in milliseconds
   */
  recordWaiting(service: string, now: number): void {
    if (this.isOn) this.roomOf(service).recordWaiting(now);
  }

  /**
   * Records the time of a finished run.
   *
   * @param route - name of its route
   * @param ms - time since its admission, in milliseconds
   * @param slowness - slowness of its worker
   */
  recordRun(route: string, ms: number, slowness: number): void {
    if (this.isOn) this.runTimes.record(route, ms, slowness);
  }

  /**
   * @param route - name of the route of a task
   * @param estimateMs - the client's estimate of its run time, in milliseconds
   * @returns expected run time on a worker of slowness 1, in milliseconds
   */
  expectedMs(route: string, estimateMs: number): number {
    return this.isOn ? this.runTimes.expectedMs(route, estimateMs) : estimateMs;
  }

  /**
   * @param service - name of the service
   * @param hasFastWorkers - whether it has fast workers that can run the tasks
   * @param now - monotonic time, in milliseconds
   * @returns the rule for placing tasks now
   */
  ruleFor(service: string, hasFastWorkers: () => boolean, now: number): PlacementRule {
    if (!this.isOn || !this.roomOf(service).isScarce(now) || !hasFastWorkers()) return fastFirst;
    return this.options.waitForFast ? waitForFast : spareFast;
  }

  private roomOf(service: string): ScarceRoom {
    const room = this.rooms.get(service) ?? ScarceRoom.create();
    this.rooms.set(service, room);
    return room;
  }
}
