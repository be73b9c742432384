import https from 'node:https';
import {PROTOCOL_VERSION} from '../src/core/protocolVersion';
import {createPeerHttpsAgent} from '../src/rpc/peerClient';
import {PROTOCOL_HEADER} from '../src/rpc/peerServer';
import {DISPATCH, SECRET, startAgent} from './fixtures/agentPort';
import {eventually} from './fixtures/testSystem';
import {runCleanups, onCleanup, startScriptedServer} from './fixtures/targets';

afterEach(runCleanups);

describe('head of a response', () => {
  it('should reach the entry before the body has begun', async () => {
    // An event feed sends its response head before it has any event. If the
    // agent held the head back for the first chunk, it would reach the caller
    // with the first event only, and the entry would time out on the target.
    const {port} = await startScriptedServer((_req, res) => {
      res.writeHead(200, {'content-type': 'text/plain'});
      res.flushHeaders();
    });
    const testAgent = await startAgent(port);
    const lastAnnouncement = () => testAgent.lastPoll()?.announcement;
    await eventually(
      'the agent accepts work',
      async () => (lastAnnouncement()?.limit ?? 0) > 0
    );
    const agent = createPeerHttpsAgent(SECRET, 'entry-0');
    onCleanup(() => agent.destroy());
    const dispatch = {
      ...DISPATCH,
      agentBootId: lastAnnouncement()?.agentBootId,
    };
    const headers = {
      [PROTOCOL_HEADER]: PROTOCOL_VERSION,
      'marlpulley-dispatch': JSON.stringify(dispatch),
    };
    const status = await new Promise((resolve, reject) => {
      const options = {host: '127.0.0.1', port: testAgent.port, agent, headers};
      const req = https.request({...options, path: '/feed'}, res => {
        resolve(res.statusCode);
        req.destroy();
      });
      req.once('error', reject).end();
    });
    expect(status).toBe(200);
  });
});
