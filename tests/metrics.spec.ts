import {CounterSink} from '../bench/capacity/counterSink';
import {Metrics} from '../src/core/metrics';
import {eventually} from './fixtures/testSystem';
import {runCleanups, onCleanup} from './fixtures/targets';

afterEach(runCleanups);

describe('metrics', () => {
  it('should send all counts, the last ones when it closes', async () => {
    // A process sends the increases of its counters periodically and ends
    // between two sends. Increases since the last send must not be lost, and
    // those already sent must not be sent again, or dashboards show wrong totals.
    const sink = await CounterSink.start('request.answered');
    onCleanup(async () => sink.close());
    const metrics = new Metrics('entry-0', {
      host: '127.0.0.1',
      port: sink.port,
    });
    const received = () => sink.snapshot().get('entry-0');
    const count = (status: string, by?: number) =>
      metrics.count('request.answered', {customer: 'harbour', status}, by);
    count('200');
    count('200');
    count('503', 3);
    await eventually('the first send', async () => received() === 5);
    count('200', 2);
    metrics.close();
    await eventually('the last send', async () => received() === 7);
    expect(metrics.snapshot()).toEqual({
      'request.answered{customer=harbour,status=200}': 4,
      'request.answered{customer=harbour,status=503}': 3,
    });
  });
});
