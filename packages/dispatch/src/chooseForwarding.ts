import type { EntryLoadReport, RegisteredProcess } from '@marjorammast/protocol';
import { compareText } from './chooseAgents';

/** Thresholds of the utilization between which the forwarded share is kept. */
export type UtilizationThresholds = {
  /** Utilization above which a rising part of the new jobs is forwarded. */
  highUtilization: number;
  /** Utilization below which that part falls. */
  lowUtilization: number;
};

/** An entry to which jobs can be forwarded. */
export type Receiver = {
  name: string;
  dataCenter: string;
  load: EntryLoadReport;
  /** Processor time of the jobs that were forwarded to it since it has reported its load, in cores. */
  reservedCores: number;
};

/** Utilization from which the processor counts as saturated: the load may exceed its capacity by any amount. */
const SATURATED_UTILIZATION = 0.9;

/** Factor by which the part of the jobs that is kept falls in each window in which the processor is saturated. */
const SATURATED_FACTOR = 0.45;

/** Decrease of the forwarded share in each window with a utilization below the low threshold. */
const RETURN_PER_WINDOW = 0.05;

/** Decrease between the low threshold and the middle of the thresholds, above which the share stays the same. */
const SLOW_RETURN_PER_WINDOW = 0.015;

/** Largest part of the new jobs that is forwarded; the jobs that are kept show whether the entry could run more. */
const MAX_FORWARDED_SHARE = 0.95;

/** Share below which forwarding ends. */
const MIN_FORWARDED_SHARE = 0.01;

/** An event loop uses one core at most, however many the VM has. */
const MAX_LOOP_CORES = 1;

/**
 * Chooses the part of the new jobs that an entry forwards. Load pattern: clients are spread unevenly over entries of
 * different size, so that the processor of one is at its limit while others have time. Above the high threshold, the part
 * that is kept shrinks in proportion to the utilization, and faster when the processor is saturated. Below the middle of
 * the thresholds it rises slowly, so that the load does not oscillate between entries.
 *
 * @param share - the part of the last window, from 0 to 1
 * @param utilization - utilization of the entry, from 0 to 1
 * @param thresholds - the thresholds of the utilization
 * @returns the part of the next window, from 0 to 1
 */
export const nextForwardedShare = (
  share: number,
  utilization: number,
  { highUtilization, lowUtilization }: UtilizationThresholds,
): number => {
  const kept = 1 - share;
  if (utilization > highUtilization) {
    const isSaturated = utilization >= SATURATED_UTILIZATION;
    const factor = isSaturated ? SATURATED_FACTOR : highUtilization / utilization;
    return Math.min(MAX_FORWARDED_SHARE, 1 - kept * factor);
  }
  const goal = (highUtilization + lowUtilization) / 2;
  if (utilization >= goal) return share;
  const step = utilization < lowUtilization ? RETURN_PER_WINDOW : SLOW_RETURN_PER_WINDOW;
  const next = share - step;
  return next < MIN_FORWARDED_SHARE ? 0 : next;
};

/**
 * @param thresholds - the thresholds of the utilization
 * @returns the utilization below which an entry accepts jobs of others. It is below the high threshold, so that jobs of
 * others do not make it forward its own.
 */
export const acceptanceThreshold = ({
  highUtilization,
  lowUtilization,
}: UtilizationThresholds): number => (highUtilization + lowUtilization) / 2;

/** Processor time of an entry that jobs of others may use, in cores. */
const spareCores = ({ load, reservedCores }: Receiver, threshold: number): number => {
  const cores = Math.min(MAX_LOOP_CORES, load.processorCores);
  return load.accepts ? cores * (threshold - load.utilization) - reservedCores : 0;
};

/**
 * Chooses the receiver of a job at random, weighted by spare processor time, since several senders see the same report.
 * Receivers in the sender's data centre come first.
 *
 * @param receivers - the entries that may be asked
 * @param dataCenter - data centre of the sender
 * @param thresholds - the thresholds of the utilization
 * @param random - uniform random number in [0, 1)
 * @returns name of the receiver, or `undefined` when none has time to spare
 */
export const chooseReceiver = (
  receivers: readonly Receiver[],
  dataCenter: string,
  thresholds: UtilizationThresholds,
  random: number,
): string | undefined => {
  const threshold = acceptanceThreshold(thresholds);
  const spare = receivers
    .map((receiver) => ({ receiver, cores: spareCores(receiver, threshold) }))
    .filter(({ cores }) => cores > 0);
  const near = spare.filter(({ receiver }) => receiver.dataCenter === dataCenter);
  const candidates = near.length > 0 ? near : spare;
  const total = candidates.reduce((sum, { cores }) => sum + cores, 0);
  let left = random * total;
  const chosen = candidates.find(({ cores }) => {
    left -= cores;
    return left < 0;
  });
  return chosen?.receiver.name;
};

/**
 * Chooses the entries to which an entry may forward jobs, so that the number of connections does not grow with the
 * deployment. Half of them are in its own data centre and half in others, since all entries of one data centre may be
 * short of processor time. Within each group they are ordered by rank (rendezvous hashing).
 *
 * @param peers - all other entries
 * @param rankOf - rank of an entry for this one
 * @param dataCenter - data centre of this entry
 * @param evacuatedDataCenters - data centres that get no tasks; their entries get no jobs
 * @param maxPeers - largest number of entries
 * @returns the chosen entries
 */
export const choosePeers = (
  peers: readonly RegisteredProcess[],
  rankOf: (entry: string) => string,
  dataCenter: string,
  evacuatedDataCenters: readonly string[],
  maxPeers: number,
): RegisteredProcess[] => {
  const ranked = peers
    .filter((peer) => !evacuatedDataCenters.includes(peer.dataCenter))
    .map((peer) => ({ peer, rank: rankOf(peer.name) }))
    .sort((a, b) => compareText(a.rank, b.rank))
    .map(({ peer }) => peer);
  const near = ranked.filter((peer) => peer.dataCenter === dataCenter);
  const far = ranked.filter((peer) => peer.dataCenter !== dataCenter);
  const half = Math.ceil(maxPeers / 2);
  const first = [...near.slice(0, half), ...far.slice(0, maxPeers - half)];
  const others = [...near.slice(half), ...far.slice(maxPeers - half)];
  return [...first, ...others].slice(0, maxPeers);
};
