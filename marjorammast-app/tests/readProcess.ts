import { readFileSync, readdirSync, readlinkSync } from 'node:fs';

/** Resources that a process uses. */
export type ProcessUsage = { residentKb: number; peakResidentKb: number; sockets: number };

const readField = (status: string, name: string): number =>
  Number(new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(status)?.[1]);

const isSocket = (path: string): boolean => {
  try {
    return readlinkSync(path).startsWith('socket:');
  } catch {
    // The descriptor was closed after the folder was read.
    return false;
  }
};

/**
 * Reads the resources that a process uses.
 *
 * @param pid - identifier of the process
 * @returns the resources; `undefined` when the process has ended
 */
export const readUsage = (pid: number): ProcessUsage | undefined => {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    // A process that is ending has no memory any more, but still an entry.
    if (!status.includes('VmRSS')) return undefined;
    const folder = `/proc/${pid}/fd`;
    return {
      residentKb: readField(status, 'VmRSS'),
      peakResidentKb: readField(status, 'VmHWM'),
      sockets: readdirSync(folder).filter((name) => isSocket(`${folder}/${name}`)).length,
    };
  } catch {
    return undefined;
  }
};

type ConnectionRow = { localPort: number; remotePort: number; unsent: number; unread: number };

const parsePort = (address = ''): number => Number.parseInt(address.split(':')[1] ?? '', 16);

const parseRow = (row: string): ConnectionRow => {
  const [, local, remote, , queues = ''] = row.trim().split(/\s+/);
  const [unsent = 0, unread = 0] = queues.split(':').map((size) => Number.parseInt(size, 16));
  return { localPort: parsePort(local), remotePort: parsePort(remote), unsent, unread };
};

/** The queues of a row without a remote port, which listens, count connections and not bytes. */
const readConnections = (): ConnectionRow[] =>
  readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .slice(1)
    .map(parseRow)
    .filter(({ remotePort }) => remotePort > 0);

/**
 * Reads how many bytes the kernel has received on ports of a process that has not read them.
 *
 * @param ports - ports of the process
 * @returns number of bytes
 */
export const readUnreadBytes = (ports: ReadonlySet<number>): number =>
  readConnections()
    .filter(({ localPort }) => ports.has(localPort))
    .reduce((sum, { unread }) => sum + unread, 0);

/**
 * Reads how many bytes are on the way to ports of a process, at both ends of the connections.
 *
 * @param ports - ports of the process
 * @returns number of bytes
 */
export const readQueuedBytes = (ports: ReadonlySet<number>): number =>
  readUnreadBytes(ports) +
  readConnections()
    .filter(({ remotePort }) => ports.has(remotePort))
    .reduce((sum, { unsent }) => sum + unsent, 0);
