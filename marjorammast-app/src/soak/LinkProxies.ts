import { localPorts } from '../local/PortBlock';
import { parseAddress } from '../settings';
import { LoopbackProxy } from './LoopbackProxy';

/** A link, and the process that a fault on it disturbs. */
export type Link = { proxy: LoopbackProxy; place: string };

/** The proxies of a deployment: one before each place for each process that reaches it. */
export class LinkProxies {
  private readonly proxies = new Map<string, LoopbackProxy>();

  private constructor() {}

  /** @returns no proxies */
  static create(): LinkProxies {
    return new LinkProxies();
  }

  /**
   * Puts a proxy before a place.
   *
   * @param from - process that reaches the place; `others` for all
   * @param place - name of the place
   * @param address - its address
   * @returns address of the proxy
   */
  async detour(from: string, place: string, address: string): Promise<string> {
    const name = `${from}>${place}`;
    const port = await localPorts.next();
    this.proxies.get(name)?.close();
    this.proxies.set(name, await LoopbackProxy.create(port, parseAddress(address).port));
    return `127.0.0.1:${port}`;
  }

  /**
   * Chooses a link.
   *
   * @param pick - a number from 0 to below 1
   */
  pick(pick: number): Link | undefined {
    const links = [...this.proxies];
    const [name, proxy] = links[Math.floor(pick * links.length)] ?? [];
    if (!name || !proxy) return undefined;
    const [from = '', to = ''] = name.split('>');
    return { proxy, place: from === 'others' ? to.replace('-rpc', '') : from };
  }

  /** Ends all proxies. */
  close(): void {
    this.proxies.forEach((proxy) => proxy.close());
  }
}
