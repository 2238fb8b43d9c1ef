/* eslint-disable import-x/prefer-default-export -- plain modules of Node.js, without a build */
import { connect, createServer } from 'node:net';

/** Forwards connections to one address; it can be cut for a time, and open connections made silent for good. */
export class TcpProxy {
  pairs = new Set();

  isCut = false;

  /** Listens on an address and forwards to another one. */
  async listen(address, target) {
    const [host, port] = address.split(':');
    const [targetHost, targetPort] = target.split(':');
    this.server = createServer((near) => {
      const far = connect({ host: targetHost, port: Number(targetPort) });
      const pair = { near, far };
      this.pairs.add(pair);
      if (this.isCut) TcpProxy.hold(pair);
      else TcpProxy.forward(pair);
      const close = () => {
        near.destroy();
        far.destroy();
        this.pairs.delete(pair);
      };
      [near, far].forEach((socket) => {
        socket.on('error', close);
        socket.on('close', close);
      });
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, resolve);
    });
  }

  static forward({ near, far }) {
    near.pipe(far);
    far.pipe(near);
  }

  static hold({ near, far }) {
    near.unpipe(far);
    far.unpipe(near);
    near.pause();
    far.pause();
  }

  /** Lets nothing more pass on the open connections, without closing them. Returns their number. */
  silence() {
    const count = this.pairs.size;
    this.pairs.forEach((pair) => TcpProxy.hold(pair));
    return count;
  }

  /** Holds up all bytes, also on new connections, until it is healed. */
  cut() {
    this.isCut = true;
    this.silence();
  }

  /** Lets the bytes that were held up pass, and all that follow. */
  heal() {
    this.isCut = false;
    this.pairs.forEach((pair) => TcpProxy.forward(pair));
  }

  close() {
    this.server?.close();
    this.pairs.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }
}
