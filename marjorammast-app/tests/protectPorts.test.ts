import { createLog, createPrometheusMetrics } from '@marjorammast/telemetry';
import { protectPorts } from '../src/protectPorts';

describe('protectPorts', () => {
  const create = (settings: Parameters<typeof protectPorts>[0]) => {
    const lines: string[] = [];
    const log = createLog('entry', 'info', (line) => void lines.push(line));
    const metrics = createPrometheusMetrics();
    return { lines, metrics, ports: protectPorts(settings, log, metrics) };
  };

  it('shares one budget for bodies among the ports, of the size that the settings state', () => {
    const { ports } = create({ limits: { bodyMemoryBytes: 1_000_000 }, memoryMb: 160 });
    const { budget } = ports.main('clients');
    expect(ports.side('metrics').budget).toBe(budget);
    expect(budget.limitBytes).toBe(1_000_000);
  });

  // Guards against a log that untrusted clients fill, and against a reason that a more frequent one suppresses.
  it('counts each rejection, and logs a bounded number of lines for each reason', async () => {
    const { lines, metrics, ports } = create({});
    const { onRejected } = ports.main('clients');
    for (let count = 0; count < 100; count += 1) {
      onRejected({ reason: 'bodyTooLarge', port: 'clients', address: '127.0.0.1' });
    }
    ports.peers.onRejected('lineTooLong');
    const text = await metrics.render();
    const counter = 'marjorammast_requests_rejected';
    expect(text).toContain(`${counter}{reason="bodyTooLarge",port="clients"} 100`);
    expect(text).toContain(`${counter}{reason="lineTooLong",port="rpc"} 1`);
    const rejected = lines.filter((line) => line.includes('event=request_rejected'));
    expect(rejected.length).toBeLessThan(10);
    expect(rejected.some((line) => line.includes('reason=lineTooLong'))).toBe(true);
  });
});
