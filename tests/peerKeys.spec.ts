import {z} from 'zod';
import {createLogger} from '../src/core/logger';
import {Metrics} from '../src/core/metrics';
import {PeerClient, createPeerAgent} from '../src/rpc/peerClient';
import {PeerServer} from '../src/rpc/peerServer';
import {closeTargets, later} from './fixtures/targets';

afterEach(closeTargets);

const HOST = '127.0.0.1';
const OLD = 'the secret until now';
const NEW = 'the secret from now on';

interface Keys {
  readonly secret: string;
  readonly acceptSecret?: string;
}

/** Settings of one process in the rounds of the operators' page. */
const ROUNDS: readonly Keys[] = [
  {secret: OLD},
  {secret: OLD, acceptSecret: NEW},
  {secret: NEW, acceptSecret: OLD},
  {secret: NEW},
];

/** What the server takes the client for, or `refused`. */
async function call(server: Keys, client: Keys): Promise<string> {
  const metrics = new Metrics('server');
  const logger = createLogger('test', 'test', 'fatal');
  const peer = new PeerServer({
    host: HOST,
    port: 0,
    logger,
    metrics,
    ...server,
  });
  peer.addMethod('who', {
    params: z.object({}),
    handle: (_params, id) => ({id}),
  });
  const port = await peer.listen();
  later(() => peer.close());
  const agent = createPeerAgent(client.secret, 'entry-0');
  later(() => agent.destroy());
  const address = {id: 'server', host: HOST, port};
  const answer = new PeerClient(address, agent).call<{id: string}>(
    'who',
    {},
    2_000
  );
  const seen = await answer.then(
    ({id}) => id,
    () => 'refused'
  );
  const refusals = metrics.snapshot()['peer.rejected{reason=handshake}'] ?? 0;
  expect(refusals).toBe(seen === 'refused' ? 1 : 0);
  return seen;
}

describe('replacing the shared secret', () => {
  // Operators restart one process after the other with the settings of the
  // next round. Meanwhile some are a round ahead; if one of them could not be
  // reached, control would lose its quorum or a target its agent.
  it.each([0, 1, 2])(
    'should let processes of round %i and the next speak both ways',
    async round => {
      const [behind, ahead] = [ROUNDS[round]!, ROUNDS[round + 1]!];
      expect(await call(behind, ahead)).toBe('entry-0');
      expect(await call(ahead, behind)).toBe('entry-0');
      expect(await call(ahead, ahead)).toBe('entry-0');
    }
  );

  // After the last round whoever still knows only the old secret is a stranger.
  it('should refuse the old secret once it is replaced, and any other', async () => {
    expect(await call(ROUNDS[3]!, ROUNDS[1]!)).toBe('refused');
    expect(await call(ROUNDS[3]!, ROUNDS[0]!)).toBe('refused');
    expect(await call(ROUNDS[2]!, {secret: 'some third secret'})).toBe(
      'refused'
    );
  });
});
