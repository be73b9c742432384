import {mkdtempSync, rmSync} from 'node:fs';
import net, {Socket} from 'node:net';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {reservePorts} from '../bench/deployment/freePorts';
import {ControlProcess} from '../src/control/controlProcess';
import {createLineLogger, createLogger} from '../src/core/logger';
import {Metrics} from '../src/core/metrics';
import {METHODS} from '../src/rpc/messages';
import {PeerClient, createPeerHttpsAgent} from '../src/rpc/peerClient';
import {PeerServer} from '../src/rpc/peerServer';
import {eventually} from './fixtures/testSystem';
import {onCleanup, runCleanups} from './fixtures/targets';
import {openInbound} from './fixtures/openInbound';

const SECRET = 'a shared secret';
const HOST = '127.0.0.1';
const logger = createLogger('test', 'test', 'fatal');

afterEach(async () => {
  jest.restoreAllMocks();
  await runCleanups();
});

interface Instance {
  readonly running: ControlProcess;
  readonly client: PeerClient;
  /** What the instance logged, by line. */
  readonly lines: readonly string[];
}

interface InstanceStatus {
  readonly instance: {
    readonly role: string;
    readonly term: number;
    readonly leaderId?: string;
    readonly commitIndex: number;
  };
}

async function startInstances(): Promise<readonly Instance[]> {
  const {ports, release} = await reservePorts(3);
  const folder = mkdtempSync(path.join(tmpdir(), 'marlpulley-control-'));
  onCleanup(() => rmSync(folder, {recursive: true}));
  const agent = createPeerHttpsAgent(SECRET, 'client');
  onCleanup(() => agent.destroy());
  const instances = ports.map((port, i) => ({id: `c${i}`, host: HOST, port}));
  await release();
  return Promise.all(
    instances.map(async address => {
      const lines: string[] = [];
      const write = (line: string) => void lines.push(line.trim());
      const running = await ControlProcess.start({
        ...address,
        secret: SECRET,
        instances,
        dataDir: path.join(folder, address.id),
        logger: createLineLogger('control', address.id, 'info', {write}),
        metrics: new Metrics(address.id),
        inbound: openInbound(),
        onFatal: () => undefined,
      });
      onCleanup(() => running.stop());
      return {running, client: new PeerClient(address, agent), lines};
    })
  );
}

/**
 * Waits until one of `candidates` leads a group that is founded; an error
 * describes `instances`. A leader that has committed nothing may be the only
 * holder of the configuration, and no other instance can be elected without it.
 */
async function leaderOf(
  candidates: readonly Instance[],
  instances = candidates
): Promise<Instance> {
  try {
    return await eventually('a leader', async () => {
      for (const candidate of candidates) {
        const {instance} = await statusOf(candidate);
        const {role, commitIndex} = instance;
        if (role === 'leader' && commitIndex > 0) return candidate;
      }
      return undefined;
    });
  } catch (err) {
    const states = await Promise.all(instances.map(describeInstance));
    throw new Error([String(err), ...states].join('\n'));
  }
}

function statusOf({client}: Instance): Promise<InstanceStatus> {
  return client.call(METHODS.status, {}, 1_000);
}

/** Role, term, leader and log lines of an instance, for a failure message. */
async function describeInstance(one: Instance): Promise<string> {
  const state = await statusOf(one).then(
    ({instance}) => JSON.stringify(instance),
    String
  );
  return [`${one.client.address.id}: ${state}`, ...one.lines].join('\n');
}

describe('a control instance that stops', () => {
  // The close of its port waited for a connection. The leader could no longer
  // be reached, and led on by its heartbeats: nobody could submit rules.
  it('should hand over the lead before it waits for its port to close', async () => {
    const instances = await startInstances();
    const leader = await leaderOf(instances);
    const {promise, resolve} = openPromise();
    onCleanup(resolve);
    jest.spyOn(PeerServer.prototype, 'close').mockReturnValueOnce(promise);
    void leader.running.stop();
    const others = instances.filter(one => one !== leader);
    expect(others).toContain(await leaderOf(others, instances));
  }, 40_000);

  // A peer that connects and then hangs. Such a connection held up the exit of
  // a process until its keep-alive time was over.
  it('should end connections that are still in the handshake', async () => {
    const server = new PeerServer({
      host: HOST,
      port: 0,
      secret: SECRET,
      logger,
      metrics: new Metrics('c'),
      inbound: openInbound(),
    });
    const port = await server.listen();
    const accepted = once(server.server, 'connection');
    const socket: Socket = net.connect(port, HOST);
    onCleanup(() => socket.destroy());
    const ended = once(socket, 'close');
    await accepted;
    await server.close();
    await ended;
  });
});

function openPromise() {
  let resolve = () => {};
  const promise = new Promise<void>(done => (resolve = done));
  return {promise, resolve};
}
