/* eslint-disable import-x/prefer-default-export -- plain modules of Node.js, without a build */
import { connect, createServer } from 'node:net';

/** Forwards connections to one address; open ones can be made silent for good. */
export class TcpProxy {
  pairs = new Set();

  /** Listens on an address and forwards to another one. */
  async listen(address, target) {
    const [host, port] = address.split(':');
    const [targetHost, targetPort] = target.split(':');
    this.server = createServer((near) => {
      const far = connect({ host: targetHost, port: Number(targetPort) });
      const pair = { near, far };
      this.pairs.add(pair);
      near.pipe(far);
      far.pipe(near);
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

  /** Lets nothing more pass on the open connections, without closing them. Returns their number. */
  silence() {
    this.pairs.forEach(({ near, far }) => {
      near.unpipe(far);
      far.unpipe(near);
      near.pause();
      far.pause();
    });
    return this.pairs.size;
  }

  close() {
    this.server?.close();
    this.pairs.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }
}
