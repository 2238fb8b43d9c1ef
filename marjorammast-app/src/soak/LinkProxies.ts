import { localPorts } from '../local/PortBlock';
import { parseAddress } from '../settings';
import { LoopbackProxy } from './LoopbackProxy';

/** A link between two processes, and the process that a fault of the link disturbs. */
export type Link = { proxy: LoopbackProxy; component: string };

/** The proxies of a deployment, one for each pair of a caller and an address that it calls. */
export class LinkProxies {
  /** Proxies by link, which is named `CALLER>ENDPOINT`. */
  private readonly proxies = new Map<string, LoopbackProxy>();

  private constructor() {}

  /** @returns an empty set of proxies */
  static create(): LinkProxies {
    return new LinkProxies();
  }

  /**
   * Starts a proxy in front of an address. It replaces an earlier proxy of the same link.
   *
   * @param from - name of the calling process, or `others` for all processes that call the
   * advertised address
   * @param endpoint - name of the called address, such as `store` or `entry-0-rpc`
   * @param address - the called address
   * @returns the address of the proxy
   */
  async addProxy(from: string, endpoint: string, address: string): Promise<string> {
    const name = `${from}>${endpoint}`;
    const port = await localPorts.next();
    this.proxies.get(name)?.close();
    this.proxies.set(name, await LoopbackProxy.create(port, parseAddress(address).port));
    return `127.0.0.1:${port}`;
  }

  /**
   * Chooses a link.
   *
   * @param pick - a number from 0 to below 1
   * @returns the link; `undefined` when there is none
   */
  pick(pick: number): Link | undefined {
    const links = [...this.proxies];
    const [name, proxy] = links[Math.floor(pick * links.length)] ?? [];
    if (!name || !proxy) return undefined;
    const [from = '', endpoint = ''] = name.split('>');
    return { proxy, component: from === 'others' ? endpoint.replace('-rpc', '') : from };
  }

  /** Closes all proxies and their connections. */
  close(): void {
    this.proxies.forEach((proxy) => proxy.close());
  }
}
