import {callRank} from '../src/ranks/rankClient';
import {probeTarget} from '../src/gateway/probeTarget';
import {runCleanups, startScriptedServer} from './fixtures/targets';

const CALL = {method: 'GET', path: '/state'} as const;
const TIMEOUT_MS = 2_000;
const ignore = () => undefined;

afterEach(runCleanups);

describe('call to a rank', () => {
  // The exception of one such call was handled by nobody and ended the leader.
  it.each(['127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1', ':80'])(
    'should end without a response at an impossible address: %s',
    async address => {
      expect(await callRank(address, CALL, TIMEOUT_MS, ignore)).toBeUndefined();
      expect(await probeTarget(address)).toBe('unknown');
    }
  );

  it.each([
    ['a body', 'HTTP/1.1 200 OK\r\n\r\n', 'x'.repeat(1 << 16)],
    ['interim responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(99)],
  ])('should end when %s comes without end', async (_name, head, chunk) => {
    let sentBytes = 0;
    const {port} = await startScriptedServer(({socket}) => {
      socket.on('error', ignore);
      const send = () => {
        while (!socket.destroyed && socket.write(chunk))
          sentBytes += chunk.length;
      };
      socket.on('drain', send);
      socket.write(head, send);
    });
    const address = `127.0.0.1:${port}`;
    expect(await callRank(address, CALL, TIMEOUT_MS, ignore)).toBeUndefined();
    expect(sentBytes).toBeLessThan(64 << 20);
  });
});
