import type {IncomingMessage} from 'node:http';
import https from 'node:https';
import {FakeLedger} from '../fakes/ledger';
import {AgentCore} from '../src/agent/agentCore';
import {PROTOCOL_VERSION} from '../src/core/protocolVersion';
import {METHODS} from '../src/rpc/messages';
import {PeerClient, createPeerHttpsAgent} from '../src/rpc/peerClient';
import {PROTOCOL_HEADER} from '../src/rpc/peerServer';
import {
  AgentUnderTest,
  DispatchOverrides,
  SECRET,
  dispatchTo,
  startAgent,
} from './fixtures/agentPort';
import {sendBytes} from './fixtures/rawCalls';
import {eventually} from './fixtures/testSystem';
import {
  runCleanups,
  onCleanup,
  startFake,
  startScriptedServer,
} from './fixtures/targets';

let ledger: FakeLedger;
let testAgent: AgentUnderTest;

beforeEach(async () => {
  ledger = await startFake(new FakeLedger());
  testAgent = await startAgent(ledger.port);
  await eventually('the agent accepts work', async () => announced().limit > 0);
});
afterEach(() => {
  jest.restoreAllMocks();
  return runCleanups();
});

function announced() {
  const announcement = testAgent.lastPoll()?.announcement;
  if (announcement === undefined) throw new Error('not announced');
  return announcement;
}

function dispatch(overrides?: DispatchOverrides) {
  return dispatchTo(testAgent.port, announced().agentBootId, overrides);
}

function rejectionCount(reason: string): number {
  return testAgent.metrics.snapshot()[`peer.rejected{reason=${reason}}`] ?? 0;
}

describe('internal port of an agent', () => {
  it('should refuse a dispatch in another protocol version', async () => {
    expect(await dispatch({version: '0'})).toMatchObject({
      status: 503,
      reason: 'peer-version',
    });
    expect(rejectionCount('version')).toBe(1);
    expect(ledger.runs).toEqual([]);
    expect((await dispatch()).status).toBe(201);
  });

  it('should refuse a call in another protocol version', async () => {
    const agent = createPeerHttpsAgent(SECRET, 'entry-0');
    onCleanup(() => agent.destroy());
    const headers = {[PROTOCOL_HEADER]: '0'};
    const options = {host: '127.0.0.1', port: testAgent.port, agent, headers};
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
    expect(rejectionCount('version')).toBe(1);
    expect((await dispatch()).status).toBe(201);
  });

  it('should reject a peer with another key, and keep serving others', async () => {
    await expect(dispatch({secret: 'another secret'})).rejects.toThrow();
    await eventually(
      'the rejection is counted',
      async () => rejectionCount('handshake') === 1
    );
    expect((await dispatch()).status).toBe(201);
  });

  it('should drop garbage, and keep serving others', async () => {
    expect(await sendBytes(testAgent.port, 'GET / HTTP/1.1\r\n\r\n')).toBe('');
    await eventually(
      'the rejection is counted',
      async () => rejectionCount('handshake') === 1
    );
    expect((await dispatch()).status).toBe(201);
  });

  // The agent can't decode the body, and nothing marks its end.
  it('should relay no response with a transfer coding that was not asked for', async () => {
    const {port} = await startScriptedServer(req =>
      req.socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nx')
    );
    testAgent = await startAgent(port);
    await eventually(
      'the agent accepts work',
      async () => announced().limit > 0
    );
    const {reason} = await dispatch();
    expect(reason).toBe('outcome-unknown');
  });

  // Writing such a head threw an exception: the slot stayed in use, and resends of the
  // key were told forever that the call was in progress.
  it.each([
    'HTTP/1.1 000 OK',
    'HTTP/2.0 200 OK',
    'HTTP/1.1 200 OK\r\nX Y: 1',
    'HTTP/1.1 200 OK\r\n\rX: 1',
  ])(
    'should record a call as run whose response head is malformed: %j',
    async head => {
      const {port} = await startScriptedServer(req =>
        req.socket.end(`${head}\r\nContent-Length: 1\r\n\r\nx`)
      );
      testAgent = await startAgent(port);
      await eventually(
        'the agent accepts work',
        async () => announced().limit > 0
      );
      const claim = {key: 'key', attempt: 1};
      const {reason} = await dispatch({dispatch: {idempotent: false, claim}});
      expect(reason).toBe('outcome-unknown');
      const state = await fenceClaim({customer: 'harbour', ...claim});
      expect(state.kind).toBe('ran');
      await eventually(
        'the slot is free',
        async () => announced().outstanding === 0
      );
    }
  );

  // An entry learns one poll late that the agent is leaving, and may dispatch
  // to it meanwhile. If the port closed at once, or during the call, the
  // outcome would be unknown. A refusal states that the call has not run.
  it('should refuse late dispatches for a while when it leaves', async () => {
    const drained = testAgent.agent.drain();
    for (let i = 0; i < 10; i++)
      expect((await dispatch()).reason).toBe('target-leaving');
    expect(ledger.runs).toEqual([]);
    await drained;
  });

  // An entry applies a new rule file up to a poll before the agents do. If each
  // agent refused what comes under it, the attempts would be used up and the
  // caller would get a 503 right after each change.
  it('should hold a dispatch under a revision that the next poll brings', async () => {
    const {observeRevision} = AgentCore.prototype;
    jest
      .spyOn(AgentCore.prototype, 'observeRevision')
      .mockImplementation(function (this: AgentCore, revision) {
        observeRevision.call(this, revision);
        testAgent.offerRevision(revision);
      });
    expect((await dispatch({dispatch: {revision: 2}})).status).toBe(201);
  });

  // The entry disconnects while the target works on a non-idempotent call, so
  // the response can't be relayed. Waiting for the closed connection would
  // occupy the slot forever, and leave the claim in state "running".
  it.each(['/assign', '/big?bytes=1000000'])(
    'should end a call to %s whose entry went away',
    async path => {
      ledger.injectFault({kind: 'answerLate', ms: 200});
      const disconnect = new AbortController();
      const claim = {key: 'key', attempt: 1};
      const call = dispatch({
        dispatch: {idempotent: false, claim},
        signal: disconnect.signal,
        path,
      });
      await eventually('the call runs', async () => ledger.runs.length === 1);
      disconnect.abort();
      await expect(call).rejects.toThrow();
      const state = await eventually('the claim has run', async () => {
        const reply = await fenceClaim({customer: 'harbour', ...claim});
        return reply.kind === 'ran' && reply;
      });
      // A response that is too large to keep is missing from the reply.
      if (path === '/assign') expect(state.answer).toMatchObject({status: 201});
      else expect(state.answer).toBeUndefined();
      await eventually('the slot is free', async () => {
        return announced().outstanding === 0;
      });
    }
  );
});

/** Queries the agent for the state of a claim. */
function fenceClaim(claim: object): Promise<{kind: string; answer?: unknown}> {
  const agent = createPeerHttpsAgent(SECRET, 'entry-1');
  onCleanup(() => agent.destroy());
  const address = {id: 'agent-0', host: '127.0.0.1', port: testAgent.port};
  const {agentBootId} = announced();
  const params = {...claim, agentBootId};
  return new PeerClient(address, agent).call(METHODS.fenceClaim, params, 1_000);
}
