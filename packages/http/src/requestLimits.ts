const BYTES_PER_MB = 1024 * 1024;

/** Memory that is assumed when the settings do not state it: that of the smallest VM, in MB. */
const DEFAULT_MEMORY_MB = 128;

/** Descriptors that are assumed when the settings do not state them: those of the smallest VM. */
const DEFAULT_DESCRIPTORS = 3_075;

/** Descriptors that are reserved for files. */
const FILE_DESCRIPTORS = 200;

/** Share of the memory that incomplete bodies may take. */
const BODY_MEMORY_SHARE = 0.1;

/** Share of the memory that incomplete heads, and what clients do not read, may take by estimate. */
const INCOMPLETE_MEMORY_SHARE = 0.15;

/** Share of the memory that connections may take in addition. */
const CONNECTION_MEMORY_SHARE = 0.15;

/**
 * Memory of a connection without a request, about a third of it in the heap.
 */
const CONNECTION_BYTES = 14 * 1024;

/**
 * Share of the descriptors for the main HTTP port. The rest is for other processes, the store, the other
 * ports, and connections that are accepted in one turn of the event loop before others are closed.
 */
const CONNECTION_DESCRIPTOR_SHARE = 0.6;

/** Share of the descriptors for connections that other processes open. */
const PEER_DESCRIPTOR_SHARE = 0.2;

/** Share of the memory that partial lines of other processes may take, and that their unread lines may. */
const PEER_LINE_MEMORY_SHARE = 0.1;

/** Share of the memory that partial lines may take on connections that have not shown to be of a process. */
const UNKNOWN_LINE_MEMORY_SHARE = 0.03;

/** Connections of a port that has only a few known callers: operators, the load balancer, or the worker of an agent. */
const SIDE_PORT_CONNECTIONS = 64;

/** Bounds of the requests on one port. */
export type RequestLimits = {
  /** Maximum size of a body, in bytes. */
  maxBodyBytes: number;
  /** Maximum size of a request head, in bytes. */
  maxHeaderBytes: number;
  /** Timeout of a request head, in milliseconds. */
  headerTimeoutMs: number;
  /** Timeout of a body without a further byte, in milliseconds. */
  bodyTimeoutMs: number;
  /** Timeout of a response of which the client reads nothing further, in milliseconds. */
  writeTimeoutMs: number;
  /** Maximum number of connections. */
  maxConnections: number;
  /** Maximum number of connections of one client address. */
  maxConnectionsPerAddress: number;
  /** Bound on the estimated memory of incomplete heads and unread responses, in bytes. */
  incompleteBytes: number;
};

/** Limits as the settings of a process state them; what is absent is derived. */
export type LimitSettings = {
  maxBodyBytes?: number;
  maxHeaderBytes?: number;
  headerTimeoutMs?: number;
  bodyTimeoutMs?: number;
  bodyMemoryBytes?: number;
  maxConnections?: number;
  maxConnectionsPerAddress?: number;
};

/** Resources of the VM of a process. */
export type Resources = { memoryMb?: number; maxDescriptors?: number };

/** Bounds of the connections that other processes open. */
export type PeerLimits = {
  /** Maximum number of connections. */
  maxConnections: number;
  /** Bound on the partial lines of all connections with a valid message, in bytes. */
  lineBytes: number;
  /** Bound on the partial lines of all connections without a valid message, in bytes. */
  unknownLineBytes: number;
  /** Bound on what the other processes have not read, over all connections, in bytes. */
  unsentBytes: number;
};

/** Limits of all ports of a process. */
export type ProcessLimits = {
  /** Limits of the port that clients use. */
  main: RequestLimits;
  /** Limits of the ports that have only a few known callers. */
  side: RequestLimits;
  /** Budget of incomplete bodies over all ports, in bytes. */
  bodyMemoryBytes: number;
  /** Bounds of the connections that other processes open. */
  peers: PeerLimits;
};

const BASE_LIMITS = {
  maxBodyBytes: 262_144,
  maxHeaderBytes: 16_384,
  // Also applies to a new connection without a request, which may be idle for the 15 s that operators publish.
  headerTimeoutMs: 20_000,
  bodyTimeoutMs: 20_000,
  writeTimeoutMs: 5_000,
  maxConnectionsPerAddress: Infinity,
};

const deriveMaxConnections = (memoryBytes: number, descriptors: number): number =>
  Math.floor(
    Math.min(
      descriptors * CONNECTION_DESCRIPTOR_SHARE,
      (memoryBytes * CONNECTION_MEMORY_SHARE) / CONNECTION_BYTES,
    ),
  );

/** Omits absent settings, which must not replace derived ones. */
const omitAbsent = <T extends object>(settings: T): T =>
  Object.fromEntries(Object.entries(settings).filter(([, value]) => value !== undefined)) as T;

/**
 * Derives the limits of a process.
 *
 * @param settings - limits that the settings state
 * @param resources - resources of the VM; those of the smallest VM if absent
 * @returns the limits of all its ports
 */
export const deriveLimits = (
  settings: LimitSettings = {},
  resources: Resources = {},
): ProcessLimits => {
  const memoryBytes = (resources.memoryMb ?? DEFAULT_MEMORY_MB) * BYTES_PER_MB;
  const descriptors = Math.max(
    1,
    (resources.maxDescriptors ?? DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS,
  );
  const { bodyMemoryBytes = Math.floor(memoryBytes * BODY_MEMORY_SHARE), ...stated } = settings;
  const main = {
    ...BASE_LIMITS,
    maxConnections: deriveMaxConnections(memoryBytes, descriptors),
    incompleteBytes: Math.floor(memoryBytes * INCOMPLETE_MEMORY_SHARE),
    ...omitAbsent(stated),
  };
  return {
    main,
    side: { ...main, maxConnections: Math.min(main.maxConnections, SIDE_PORT_CONNECTIONS) },
    bodyMemoryBytes,
    peers: {
      maxConnections: Math.floor(descriptors * PEER_DESCRIPTOR_SHARE),
      lineBytes: Math.floor(memoryBytes * PEER_LINE_MEMORY_SHARE),
      unknownLineBytes: Math.floor(memoryBytes * UNKNOWN_LINE_MEMORY_SHARE),
      unsentBytes: Math.floor(memoryBytes * PEER_LINE_MEMORY_SHARE),
    },
  };
};
