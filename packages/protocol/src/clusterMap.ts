import { createHash } from 'node:crypto';
import { z } from 'zod';
import { SHARD_COUNT } from './constants';

const memberSchema = z.object({
  name: z.string(),
  /** Differs for every process that ever ran under the name. */
  incarnation: z.string(),
  /** Host and port for other processes of the system. */
  address: z.string(),
  dataCenter: z.string(),
});

const shardSchema = z.object({ owner: z.string(), epoch: z.number().int().nonnegative() });

/** Which entry owns which shard of the job keys. */
export const clusterMapSchema = z.object({
  members: z.array(memberSchema),
  shards: z.array(shardSchema).length(SHARD_COUNT),
});

/** Inferred from {@link clusterMapSchema}. */
export type ClusterMap = z.infer<typeof clusterMapSchema>;
/** One entry in the map. */
export type Member = z.infer<typeof memberSchema>;

/** Owner and epoch of one shard. */
export type ShardClaim = { shard: number; epoch: number };

/**
 * Shard of a job.
 *
 * @param id - identifier of the job
 * @returns a number below {@link SHARD_COUNT}
 */
export const shardOf = (id: string): number =>
  createHash('md5').update(id).digest().readUInt32LE(0) % SHARD_COUNT;

/** An empty map, as before the first entry has started. */
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

const leastLoaded = (counts: Map<string, number>): string =>
  [...counts.entries()].sort((a, b) => a[1] - b[1] || a[0].localeCompare(b[0]))[0]?.[0] ?? '';

const assignOrphans = (map: ClusterMap): ClusterMap => {
  const counts = countShards(map);
  const shards = map.shards.map((shard) => {
    if (counts.has(shard.owner)) return shard;
    const owner = leastLoaded(counts);
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
    return { owner, epoch: shard.epoch + 1 };
  });
  return { ...map, shards };
};

/**
 * Adds a member; shards without an owner go to the least loaded members, and the shards of an
 * earlier process of the same name get a new epoch.
 *
 * @param map - present map
 * @param member - the entry that joins
 * @returns the new map
 */
export const withMember = (map: ClusterMap, member: Member): ClusterMap => {
  const others = map.members.filter(({ name }) => name !== member.name);
  const shards = map.shards.map((shard) =>
    shard.owner === member.name ? { ...shard, epoch: shard.epoch + 1 } : shard,
  );
  return assignOrphans({ members: [...others, member], shards });
};

/**
 * Removes members and gives their shards, each under a new epoch, to the least loaded others.
 *
 * @param map - present map
 * @param names - entries that leave
 * @returns the new map
 */
export const withoutMembers = (map: ClusterMap, names: readonly string[]): ClusterMap =>
  assignOrphans({
    ...map,
    members: map.members.filter(({ name }) => !names.includes(name)),
  });

/**
 * Moves shards above the fair share of one owner to the least loaded members.
 *
 * @param map - present map
 * @param owner - entry that gives shards away
 * @returns the new map; the same object when there is nothing to move
 */
export const withFairShare = (map: ClusterMap, owner: string): ClusterMap => {
  const counts = countShards(map);
  const fair = Math.ceil(SHARD_COUNT / Math.max(1, map.members.length));
  let surplus = (counts.get(owner) ?? 0) - fair;
  if (surplus <= 0) return map;
  const shards = map.shards.map((shard) => {
    if (shard.owner !== owner || surplus <= 0) return shard;
    const receiver = leastLoaded(counts);
    if (receiver === owner || (counts.get(receiver) ?? 0) >= fair) return shard;
    surplus -= 1;
    counts.set(receiver, (counts.get(receiver) ?? 0) + 1);
    counts.set(owner, (counts.get(owner) ?? 0) - 1);
    return { owner: receiver, epoch: shard.epoch + 1 };
  });
  return { ...map, shards };
};

/**
 * Lists the shards of one entry.
 *
 * @param map - the map
 * @param owner - name of the entry
 * @returns shard numbers with their epochs
 */
export const shardsOf = (map: ClusterMap, owner: string): ShardClaim[] =>
  map.shards.flatMap((entry, shard) =>
    entry.owner === owner ? [{ shard, epoch: entry.epoch }] : [],
  );
