import type {IncomingMessage} from 'node:http';
import {TargetPushback} from '../src/cluster/targetPushback';
import {TargetTable} from '../src/cluster/targetTable';
import {NodeMetrics} from '../src/core/nodeMetrics';
import type {TargetNotice} from '../src/site/targetNotice';
import {recordingLogger} from './fixtures/recordingLogger';

const TARGET = {id: 't', bornMs: 1};
const RESTARTED = {id: 't', bornMs: 2};

function fixture() {
  const metrics = new NodeMetrics();
  const {logger, events} = recordingLogger();
  const readNotice = (res: IncomingMessage) =>
    res as unknown as TargetNotice | undefined;
  const pushback = new TargetPushback(new TargetTable(), {
    logger,
    metrics,
    readNotice,
    nodeIds: () => ({self: 'n', all: ['n']}),
  });
  let nowMs = 0;
  const respond = (target: typeof TARGET, notice: Partial<TargetNotice>) =>
    pushback.noteResponse(
      target,
      {
        res: {
          isLeaving: false,
          invalidHeaders: [],
          ...notice,
        } as unknown as IncomingMessage,
        sentAtMs: nowMs,
      },
      ++nowMs
    );
  const countCall = (target: typeof TARGET, kind: string) =>
    pushback.countCall(target, kind, nowMs);
  const wait = (ms: number) => void (nowMs += ms);
  return {pushback, metrics, events, respond, countCall, wait};
}

describe('statements of targets', () => {
  it('should log a stated rate limit once, its changes, and its end', () => {
    const {events, respond} = fixture();
    for (const rateLimit of [1, 1, 4, 4, undefined, undefined])
      respond(TARGET, {rateLimit});
    expect(events('target.limit')).toMatchObject([
      {perSecond: 1},
      {perSecond: 4, before: 1},
      {before: 4},
    ]);
  });

  it('should count calls to targets that state a limit, by kind', async () => {
    const {countCall, metrics, respond} = fixture();
    countCall(TARGET, 'request');
    respond(TARGET, {rateLimit: 1});
    countCall(TARGET, 'request');
    countCall(TARGET, 'counts');
    countCall(RESTARTED, 'request');
    const lines = (await metrics.text()).split('\n');
    for (const kind of ['request', 'counts'])
      expect(lines).toContain(
        `marlpulley_limited_target_calls_total{kind="${kind}"} 1`
      );
  });

  // Guards against a log that a garbling target fills, and against a bad value
  // that ends a limit in force.
  it('should log an invalid header once, count each, and keep the limit', async () => {
    const {countCall, metrics, events, respond} = fixture();
    respond(TARGET, {rateLimit: 1});
    for (let i = 0; i < 3; i++)
      respond(TARGET, {
        rateLimit: 'invalid',
        invalidHeaders: ['server-limit'],
      });
    countCall(TARGET, 'request');
    expect(events('target.malformed')).toHaveLength(1);
    const text = await metrics.text();
    expect(text).toContain('invalid_total{header="server-limit"} 3');
    expect(text).toContain('calls_total{kind="request"} 1');
  });

  it('should log a rest when it begins, and count calls in it', async () => {
    const {metrics, events, respond, countCall, wait} = fixture();
    for (const restMs of [3_000, 2_000]) respond(TARGET, {restMs});
    countCall(TARGET, 'request');
    countCall(RESTARTED, 'request');
    wait(3_000);
    countCall(TARGET, 'request');
    expect(events('target.rest')).toMatchObject([{target: 't', restMs: 3_000}]);
    expect(await metrics.text()).toContain(
      'resting_target_calls_total{kind="request"} 1'
    );
  });

  // Guards against a garbling target that asks for a year.
  it('should end a rest after some minutes at the latest', async () => {
    const {metrics, respond, countCall, wait} = fixture();
    respond(TARGET, {restMs: 31_536_000_000});
    wait(299_000);
    countCall(TARGET, 'request');
    wait(2_000);
    countCall(TARGET, 'request');
    expect(await metrics.text()).toContain(
      'resting_target_calls_total{kind="request"} 1'
    );
  });
});
