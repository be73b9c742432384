import net from 'node:net';
import {once} from 'node:events';
import {Metrics} from '../src/core/metrics';
import {CallerServer} from '../src/entry/callerServer';
import type {EntryCore} from '../src/entry/entryCore';
import type {EntrySettings} from '../src/settings/settings';
import {openInbound} from './fixtures/openInbound';

const HOST = '127.0.0.1';
const SETTINGS = {
  process: {host: HOST},
  callers: {port: 0, headerTimeoutMs: 200, maxHeaderBytes: 16_384, drainMs: 0},
  customerKeys: new Map(),
} as unknown as EntrySettings;
const CORE = {
  entryId: 'entry-0',
  metrics: new Metrics('entry-0'),
  random: () => 0.5,
} as unknown as EntryCore;

let socket: net.Socket;
afterEach(() => void socket.destroy());

describe('the server for callers', () => {
  // A caller that opens connections in advance, or that is cut off in the middle
  // of a head. Such a connection kept a draining entry from ever exiting.
  it.each([
    ['has sent nothing', ''],
    ['is late with a head', 'GET / HTTP/1.1\r\n'],
  ])('should close while a connection %s', async (_, sent) => {
    const server = new CallerServer(CORE, SETTINGS, openInbound());
    const port = await server.listen();
    socket = net.connect(port, HOST);
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    socket.write(sent);
    const ended = once(socket, 'close');
    await server.close();
    await ended;
  });
});
