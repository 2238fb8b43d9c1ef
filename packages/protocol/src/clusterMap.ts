import { createHash } from 'node:crypto';
import * as z from 'zod';
import { SHARD_COUNT } from './constants';

const memberSchema = z.object({
  name: z.string(),
  /** Identifier of the process, different for every process that has run under the name. */
  incarnation: z.string(),
  /** RPC address, host and port. */
  address: z.string(),
  dataCenter: z.string(),
});

/**
 * Owner of a shard, empty while the cluster has no members, and the epoch, which rises with each
 * change of the owning process.
 */
const shardSchema = z.object({ owner: z.string(), epoch: z.number().int().nonnegative() });

/** Assignment of the shards of the job keys to entries; an entry owns the jobs of its shards. */
export const clusterMapSchema = z.object({
  members: z.array(memberSchema),
  shards: z.array(shardSchema).length(SHARD_COUNT),
});

/** Inferred from {@link clusterMapSchema}. */
export type ClusterMap = z.infer<typeof clusterMapSchema>;
/** An entry that is a member of the cluster. */
export type Member = z.infer<typeof memberSchema>;

/** A shard with the epoch (fencing token) under which it is owned. */
export type ShardClaim = { shard: number; epoch: number };

/**
 * Maps a job to its shard.
 *
 * @param id - identifier of the job
 * @returns the shard number, below {@link SHARD_COUNT}
 */
export const shardOf = (id: string): number =>
  createHash('md5').update(id).digest().readUInt32LE(0) % SHARD_COUNT;

/** Creates the map of a cluster without members. */
export const emptyMap = (): ClusterMap => ({
  members: [],
  shards: Array.from({ length: SHARD_COUNT }, () => ({ owner: '', epoch: 0 })),
});

const countShards = (map: ClusterMap): Map<string, number> => {
  const counts = new Map(map.members.map((member) => [member.name, 0]));
  map.shards.forEach(({ owner }) => {
    if (counts.has(owner)) counts.set(owner, (counts.get(owner) ?? 0) + 1);
  });
  return counts;
};

const findLeastLoaded = (counts: Map<string, number>): string =>
  [...counts.entries()].sort((a, b) => a[1] - b[1] || a[0].localeCompare(b[0]))[0]?.[0] ?? '';

const assignUnownedShards = (map: ClusterMap): ClusterMap => {
  const counts = countShards(map);
  const shards = map.shards.map((shard) => {
    if (counts.has(shard.owner)) return shard;
    const owner = findLeastLoaded(counts);
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
    return { owner, epoch: shard.epoch + 1 };
  });
  return { ...map, shards };
};

/**
 * Adds a member. Shards without an owner are assigned to the members with the fewest shards. Shards
 * of an earlier process of the same name stay with the name, under a new epoch.
 *
 * @param map - current map
 * @param member - the joining entry
 * @returns the new map
 */
export const withMember = (map: ClusterMap, member: Member): ClusterMap => {
  const others = map.members.filter(({ name }) => name !== member.name);
  const shards = map.shards.map((shard) =>
    shard.owner === member.name ? { ...shard, epoch: shard.epoch + 1 } : shard,
  );
  return assignUnownedShards({ members: [...others, member], shards });
};

/**
 * Removes members and assigns their shards, each under a new epoch, to the remaining members with
 * the fewest shards.
 *
 * @param map - current map
 * @param names - names of the leaving entries
 * @returns the new map
 */
export const withoutMembers = (map: ClusterMap, names: readonly string[]): ClusterMap =>
  assignUnownedShards({
    ...map,
    members: map.members.filter(({ name }) => !names.includes(name)),
  });

/**
 * Moves the shards that one owner has beyond its fair share to the members with the fewest shards.
 *
 * @param map - current map
 * @param owner - entry to take shards from
 * @returns the new map, or the same object when there is nothing to move
 */
export const withBalancedShards = (map: ClusterMap, owner: string): ClusterMap => {
  const counts = countShards(map);
  const fairShare = Math.ceil(SHARD_COUNT / Math.max(1, map.members.length));
  let surplus = (counts.get(owner) ?? 0) - fairShare;
  if (surplus <= 0) return map;
  const shards = map.shards.map((shard) => {
    if (shard.owner !== owner || surplus <= 0) return shard;
    const receiver = findLeastLoaded(counts);
    if (receiver === owner || (counts.get(receiver) ?? 0) >= fairShare) return shard;
    surplus -= 1;
    counts.set(receiver, (counts.get(receiver) ?? 0) + 1);
    counts.set(owner, (counts.get(owner) ?? 0) - 1);
    return { owner: receiver, epoch: shard.epoch + 1 };
  });
  return { ...map, shards };
};

/**
 * Lists the shards that one entry owns.
 *
 * @param map - the map
 * @param owner - name of the entry
 * @returns the shards with their epochs
 */
export const shardsOf = (map: ClusterMap, owner: string): ShardClaim[] =>
  map.shards.flatMap((assignment, shard) =>
    assignment.owner === owner ? [{ shard, epoch: assignment.epoch }] : [],
  );
