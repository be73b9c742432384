/** A caller that writes the bytes of a request as they are, and reads the answer. */

import net from 'node:net';

/** Sends `bytes` on a new connection; resolves with what came until it closed or fell silent. */
export function exchange({
  host,
  port,
  bytes,
  silentMs = 1_000,
  timeoutMs = 10_000,
}) {
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    const chunks = [];
    let ended = 'silent';
    const finish = how => {
      ended = how;
      clearTimeout(timer);
      clearTimeout(limit);
      socket.destroy();
      const text = Buffer.concat(chunks).toString('latin1');
      resolve({text, ended, ...parse(text)});
    };
    let timer;
    const limit = setTimeout(() => finish('timeout'), timeoutMs);
    socket.on('connect', () => socket.write(bytes));
    socket.on('data', chunk => {
      chunks.push(chunk);
      clearTimeout(timer);
      timer = setTimeout(() => finish('silent'), silentMs);
    });
    socket.on('end', () => finish('closed'));
    socket.on('error', err => finish(err.code));
  });
}

function parse(text) {
  const head = text.slice(0, text.indexOf('\r\n\r\n'));
  const body = text.slice(head.length + 4);
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0);
  return {status, head, body};
}
