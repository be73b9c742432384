import type {ServerResponse} from 'node:http';
import type net from 'node:net';
import {eventually} from '../fixtures/testSystem';
import type {Handler} from './gatewayFixture';
import {GatewayFixture} from './gatewayFixture';

const OK = 200;
const EVENT_CHARS = 64 << 10;
/** Longer than the silence that counts as a stall. */
const SILENCE_MS = 800;

describe('callers that do not read their streams', () => {
  let fixture: GatewayFixture;
  const sockets: net.Socket[] = [];
  let streams = 0;
  let writtenAtMs = 0;

  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    streams = 0;
    await fixture.close();
  });

  /** Sends events for as long as they are taken. */
  function sendEvents(res: ServerResponse): void {
    streams++;
    res.writeHead(OK, {'content-type': 'text/event-stream'});
    let id = 0;
    const send = () => {
      let isTaken = true;
      while (isTaken && !res.destroyed) {
        writtenAtMs = performance.now();
        isTaken = res.write(
          `id: ${++id}\ndata: ${'x'.repeat(EVENT_CHARS)}\n\n`
        );
      }
    };
    res.on('drain', send);
    send();
  }

  const target: Handler = (req, res) =>
    req.url?.startsWith('/stream/') === true ? sendEvents(res) : res.end('ok');

  async function openUnreadStreams(count: number): Promise<void> {
    for (let i = 0; i < count; i++)
      sockets.push(await fixture.openSlowly('/stream/x'));
    await eventually('the targets wait', async () => {
      return streams === count && performance.now() - writtenAtMs > SILENCE_MS;
    });
  }

  // Their wait was taken for a stall of the targets, and the service for lost.
  it('should not keep a service from others', async () => {
    fixture = await GatewayFixture.start([target], {timeoutMs: 60_000});
    await openUnreadStreams(3);
    expect((await fixture.call('/idempotent/x')).status).toBe(OK);
  });

  // Their requests went on until they closed their connections.
  it('should hold a slot until their time limit at most', async () => {
    const grant = {concurrency: 2};
    const limits = {timeoutMs: 2_000, latencyTargetMs: 0};
    fixture = await GatewayFixture.start([target], limits, {grant});
    await openUnreadStreams(2);
    await eventually('a slot is free', async () => {
      return (await fixture.call('/idempotent/x')).status === OK;
    });
  });
});
