import type {IncomingMessage} from 'node:http';
import https from 'node:https';
import {FakeLedger} from '../fakes/ledger';
import {PROTOCOL_VERSION} from '../src/core/protocolVersion';
import {METHODS} from '../src/rpc/messages';
import {PeerClient, createPeerAgent} from '../src/rpc/peerClient';
import {PROTOCOL_HEADER} from '../src/rpc/peerServer';
import {
  AgentUnderTest,
  DispatchChange,
  SECRET,
  dispatchTo,
  startAgent,
} from './fixtures/agentPort';
import {sendBytes} from './fixtures/rawCalls';
import {eventually} from './fixtures/system';
import {closeTargets, later, started} from './fixtures/targets';

let ledger: FakeLedger;
let under: AgentUnderTest;

beforeEach(async () => {
  ledger = await started(new FakeLedger());
  under = await startAgent(ledger.port);
  await eventually('it takes work', async () => announced().limit > 0);
});
afterEach(closeTargets);

function announced() {
  const announcement = under.lastPoll()?.announcement;
  if (announcement === undefined) throw new Error('not announced');
  return announcement;
}

function dispatch(change?: DispatchChange) {
  return dispatchTo(under.port, announced().agentBootId, change);
}

function rejected(reason: string): number {
  return under.metrics.snapshot()[`peer.rejected{reason=${reason}}`] ?? 0;
}

describe('internal port of an agent', () => {
  it('should refuse a dispatch in another protocol version', async () => {
    expect(await dispatch({version: '0'})).toMatchObject({
      status: 503,
      reason: 'peer-version',
    });
    expect(rejected('version')).toBe(1);
    expect(ledger.runs).toEqual([]);
    expect((await dispatch()).status).toBe(201);
  });

  it('should refuse a call in another protocol version', async () => {
    const agent = createPeerAgent(SECRET, 'entry-0');
    later(() => agent.destroy());
    const headers = {[PROTOCOL_HEADER]: '0'};
    const options = {host: '127.0.0.1', port: under.port, agent, headers};
    const res = await new Promise<IncomingMessage>((resolve, reject) =>
      https
        .request({...options, method: 'POST', path: '/rpc'}, resolve)
        .on('error', reject)
        .end('{}')
    );
    expect([res.statusCode, res.headers[PROTOCOL_HEADER]]).toEqual([
      426,
      PROTOCOL_VERSION,
    ]);
    expect(rejected('version')).toBe(1);
    expect((await dispatch()).status).toBe(201);
  });

  it('should refuse a peer with another key, and serve others on', async () => {
    await expect(dispatch({secret: 'another secret'})).rejects.toThrow();
    await eventually('a count', async () => rejected('handshake') === 1);
    expect((await dispatch()).status).toBe(201);
  });

  it('should drop garbage, and serve others on', async () => {
    expect(await sendBytes(under.port, 'GET / HTTP/1.1\r\n\r\n')).toBe('');
    await eventually('a count', async () => rejected('handshake') === 1);
    expect((await dispatch()).status).toBe(201);
  });

  // An entry hears of the leaving one poll late and sends a call meanwhile. A
  // port that is closed at once, or closes on it, leaves the outcome open; a
  // refusal says "not run" for sure.
  it('should refuse late dispatches for a while when it leaves', async () => {
    const ended = under.agent.drain();
    for (let i = 0; i < 10; i++)
      expect((await dispatch()).reason).toBe('target-leaving');
    expect(ledger.runs).toEqual([]);
    await ended;
  });

  // The entry goes away while the target works on a call that may run once.
  // The answer still comes, with nobody to relay it to. Waiting for that
  // connection would keep the slot for ever, and leave the claim running.
  it.each(['/assign', '/big?bytes=1000000'])(
    'should end a call to %s whose entry went away',
    async path => {
      ledger.breakNext({kind: 'answerLate', ms: 200});
      const gone = new AbortController();
      const claim = {key: 'key', attempt: 1};
      const call = dispatch({
        dispatch: {idempotent: false, claim},
        signal: gone.signal,
        path,
      });
      await eventually('it runs', async () => ledger.runs.length === 1);
      gone.abort();
      await expect(call).rejects.toThrow();
      const known = await eventually('it ran', async () => {
        const said = await ask({customer: 'harbour', ...claim});
        return said.kind === 'ran' && said;
      });
      // An answer too large to be kept is lost, and said to be.
      if (path === '/assign') expect(known.answer).toMatchObject({status: 201});
      else expect(known.answer).toBeUndefined();
      await eventually('the slot is free', async () => {
        return announced().outstanding === 0;
      });
    }
  );
});

/** Asks the agent what became of a claim. */
function ask(claim: object): Promise<{kind: string; answer?: unknown}> {
  const agent = createPeerAgent(SECRET, 'entry-1');
  later(() => agent.destroy());
  const address = {id: 'agent-0', host: '127.0.0.1', port: under.port};
  const {agentBootId} = announced();
  const question = {...claim, agentBootId};
  return new PeerClient(address, agent).call(
    METHODS.fenceClaim,
    question,
    1_000
  );
}
