import http from 'node:http';
import type {AddressInfo} from 'node:net';
import net from 'node:net';
import {once} from 'node:events';
import type {ClusterView} from '../src/cluster/clusterView';
import {OrderGate} from '../src/node/orderGate';
import {onCleanup, runCleanups} from './fixtures/targets';

const KNOWN: Partial<ClusterView> = {grantedAtMs: 0, zoneRevisions: {a: 1}};

/** A server that responds with the zone revisions that an order is compared with. */
async function startServer(initial: Partial<ClusterView> = KNOWN) {
  const node = {view: initial as ClusterView, quarantine: {} as never};
  const suspension = {mayHaveBacklog: false};
  const gate = new OrderGate(node, suspension);
  const server = http.createServer();
  gate.attach(server);
  const held: (() => void)[] = [];
  server.on('request', (req, res) => {
    const {basis} = gate.take(req, res) ?? {};
    const reply = () =>
      res.end(`<${JSON.stringify(basis?.zoneRevisions ?? null)}>`);
    if (req.url === '/held') held.push(reply);
    else reply();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  onCleanup(() => {
    server.closeAllConnections();
    server.close();
  });
  return {server, node, suspension, held};
}

/** Replies on one connection. */
async function connect(server: http.Server) {
  const socket = net.connect((server.address() as AddressInfo).port);
  const accepted = once(server, 'connection');
  let received = '';
  socket.on('data', data => (received += String(data)));
  await accepted;
  const replies = () => received.match(/<.*?>/g) ?? [];
  const until = async (count: number) => {
    while (replies().length < count) await once(socket, 'data');
    return replies();
  };
  const send = (path: string) =>
    socket.write(`DELETE ${path} HTTP/1.1\r\nHost: x\r\n\r\n`);
  onCleanup(() => socket.destroy());
  return {send, until};
}

function learn(node: {view: ClusterView}, a: number): void {
  node.view = {...node.view, zoneRevisions: {a}};
}

afterEach(runCleanups);

// The bytes of an order may arrive after its sender has given up and others were ordered.
describe('what an order is compared with', () => {
  it('should be what was known when its connection was opened', async () => {
    const {server, node} = await startServer();
    const {send, until} = await connect(server);
    learn(node, 2);
    send('/');
    expect(await until(1)).toEqual(['<{"a":1}>']);
  });

  it('should be what was known at the response before', async () => {
    const {server, node} = await startServer();
    const {send, until} = await connect(server);
    send('/');
    await until(1);
    learn(node, 2);
    send('/');
    await until(2);
    learn(node, 3);
    send('/');
    expect(await until(3)).toEqual(['<{"a":1}>', '<{"a":1}>', '<{"a":2}>']);
  });

  it('should not be newer while an earlier response is due', async () => {
    const {server, node, held} = await startServer();
    const {send, until} = await connect(server);
    send('/held');
    while (held.length === 0) await once(server, 'request');
    learn(node, 2);
    send('/');
    await once(server, 'request');
    held[0]!();
    expect(await until(2)).toEqual(['<{"a":1}>', '<{"a":1}>']);
  });

  it.each([
    ['before the first state of a leader', {}, false],
    ['after the process stood still', KNOWN, true],
  ])('should be nothing %s', async (_when, view, mayHaveBacklog) => {
    const {server, suspension} = await startServer(view);
    suspension.mayHaveBacklog = mayHaveBacklog;
    const {send, until} = await connect(server);
    send('/');
    expect(await until(1)).toEqual(['<null>']);
  });
});
