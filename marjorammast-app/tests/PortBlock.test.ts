import { createServer } from 'node:net';
import { PortBlock } from '../src/local/PortBlock';

describe('PortBlock', () => {
  it('allocates no port twice, also with several instances', async () => {
    const blocks = [PortBlock.create(), PortBlock.create()];
    const ports = await Promise.all(
      Array.from({ length: 400 }, (_, index) => blocks[index % 2]?.next()),
    );
    blocks.forEach((block) => block.close());
    expect(new Set(ports).size).toBe(400);
  });

  it('skips a port that another server listens on', async () => {
    const block = PortBlock.create();
    const first = await block.next();
    const other = createServer();
    await new Promise<void>((resolve) => {
      other.listen(first + 1, '127.0.0.1', resolve);
    });
    const second = await block.next();
    other.close();
    block.close();
    expect(second).toBe(first + 2);
  });
});
