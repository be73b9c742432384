import https from 'node:https';
import {PROTOCOL_VERSION} from '../src/core/protocolVersion';
import {createPeerAgent} from '../src/rpc/peerClient';
import {PROTOCOL_HEADER} from '../src/rpc/peerServer';
import {DISPATCH, SECRET, startAgent} from './fixtures/agentPort';
import {eventually} from './fixtures/system';
import {closeTargets, later, scripted} from './fixtures/targets';

afterEach(closeTargets);

describe('head of an answer', () => {
  it('should reach the entry before the body has begun', async () => {
    // A feed answers with its head and has nothing to tell yet. Its caller
    // waits for the head; held back for a first chunk, it would come only with
    // the first event, and the entry would call the target silent before.
    const {port} = await scripted((_req, res) => {
      res.writeHead(200, {'content-type': 'text/plain'});
      res.flushHeaders();
    });
    const under = await startAgent(port);
    const told = () => under.lastPoll()?.announcement;
    await eventually('it takes work', async () => (told()?.limit ?? 0) > 0);
    const agent = createPeerAgent(SECRET, 'entry-0');
    later(() => agent.destroy());
    const dispatch = {...DISPATCH, agentBootId: told()?.agentBootId};
    const headers = {
      [PROTOCOL_HEADER]: PROTOCOL_VERSION,
      'marlpulley-dispatch': JSON.stringify(dispatch),
    };
    const status = await new Promise((resolve, reject) => {
      const options = {host: '127.0.0.1', port: under.port, agent, headers};
      const req = https.request({...options, path: '/feed'}, res => {
        resolve(res.statusCode);
        req.destroy();
      });
      req.once('error', reject).end();
    });
    expect(status).toBe(200);
  });
});
