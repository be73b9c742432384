import {z} from 'zod';
import {createLogger} from '../src/core/logger';
import {Metrics} from '../src/core/metrics';
import {PeerClient, createPeerHttpsAgent} from '../src/rpc/peerClient';
import {PeerServer} from '../src/rpc/peerServer';
import {runCleanups, onCleanup} from './fixtures/targets';
import {openInbound} from './fixtures/openInbound';

afterEach(runCleanups);

const HOST = '127.0.0.1';
const OLD_SECRET = 'the secret until now';
const NEW_SECRET = 'the secret from now on';

interface Secrets {
  readonly secret: string;
  readonly acceptSecret?: string;
}

/** Secrets of a process in each round of a replacement by operators. */
const ROUNDS: readonly Secrets[] = [
  {secret: OLD_SECRET},
  {secret: OLD_SECRET, acceptSecret: NEW_SECRET},
  {secret: NEW_SECRET, acceptSecret: OLD_SECRET},
  {secret: NEW_SECRET},
];

/** Returns the identity that the server sees for the client, or `refused`. */
async function callAsEntry(server: Secrets, client: Secrets): Promise<string> {
  const metrics = new Metrics('server');
  const logger = createLogger('test', 'test', 'fatal');
  const peer = new PeerServer({
    host: HOST,
    port: 0,
    logger,
    metrics,
    inbound: openInbound(),
    ...server,
  });
  peer.addMethod('who', {
    params: z.object({}),
    handle: (_params, id) => ({id}),
  });
  const port = await peer.listen();
  onCleanup(() => peer.close());
  const agent = createPeerHttpsAgent(client.secret, 'entry-0');
  onCleanup(() => agent.destroy());
  const address = {id: 'server', host: HOST, port};
  const reply = new PeerClient(address, agent).call<{id: string}>(
    'who',
    {},
    2_000
  );
  const identity = await reply.then(
    ({id}) => id,
    () => 'refused'
  );
  const rejections = metrics.snapshot()['peer.rejected{reason=handshake}'] ?? 0;
  expect(rejections).toBe(identity === 'refused' ? 1 : 0);
  return identity;
}

describe('replacing the shared secret', () => {
  // Operators restart the processes one by one with the settings of the next
  // round, so some are a round ahead of others. If these could not connect to
  // each other, control would lose its quorum, or a target its agent.
  it.each([0, 1, 2])(
    'should let processes of round %i and the next call each other',
    async round => {
      const [behind, ahead] = [ROUNDS[round]!, ROUNDS[round + 1]!];
      expect(await callAsEntry(behind, ahead)).toBe('entry-0');
      expect(await callAsEntry(ahead, behind)).toBe('entry-0');
      expect(await callAsEntry(ahead, ahead)).toBe('entry-0');
    }
  );

  // After the last round, a process with only the old secret is not trusted.
  it('should refuse the old secret once it is replaced, and any other', async () => {
    expect(await callAsEntry(ROUNDS[3]!, ROUNDS[1]!)).toBe('refused');
    expect(await callAsEntry(ROUNDS[3]!, ROUNDS[0]!)).toBe('refused');
    expect(await callAsEntry(ROUNDS[2]!, {secret: 'some third secret'})).toBe(
      'refused'
    );
  });
});
