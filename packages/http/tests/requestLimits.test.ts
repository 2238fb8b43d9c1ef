import { deriveLimits } from '../src';

const MB = 1024 * 1024;

describe('deriveLimits', () => {
  it.each([
    ['the smallest entry', 160, 3_075],
    ['the largest entry', 602, 10_250],
    ['the smallest agent', 128, 4_096],
  ])(
    'leaves more than half of the memory and a tenth of the descriptors of %s',
    (...[, mb, fds]) => {
      const limits = deriveLimits({}, { memoryMb: mb, maxDescriptors: fds });
      const { main, side, peers, bodyMemoryBytes } = limits;
      const connections = main.maxConnections + 2 * side.maxConnections + peers.maxConnections;
      expect(connections).toBeLessThan((fds - 200) * 0.9);
      const bytes = bodyMemoryBytes + main.incompleteBytes + main.maxConnections * 14 * 1024;
      expect(bytes).toBeLessThan(0.45 * mb * MB);
      expect(bodyMemoryBytes).toBeGreaterThan(40 * main.maxBodyBytes);
    },
  );

  // Guards against limits that a client within the published ones meets.
  it('permits by default what operators publish', () => {
    const { main } = deriveLimits();
    expect(main).toMatchObject({ maxBodyBytes: 262_144, maxHeaderBytes: 16_384 });
    // A new connection may be idle for 15 s before its first request.
    expect(main.headerTimeoutMs).toBeGreaterThan(15_000);
    expect(main.bodyTimeoutMs).toBeGreaterThan(15_000);
  });

  it('takes what the settings state, and derives what they leave out', () => {
    const stated = { maxConnections: 7, bodyTimeoutMs: undefined, bodyMemoryBytes: 9 };
    const { main, side, bodyMemoryBytes } = deriveLimits(stated, { memoryMb: 160 });
    expect(main).toMatchObject({ maxConnections: 7, bodyTimeoutMs: 20_000 });
    expect(side.maxConnections).toBe(7);
    expect(bodyMemoryBytes).toBe(9);
  });
});
