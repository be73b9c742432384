/** Calls of operators, workers and requesters, each on a connection of its own. */

import http from 'node:http';

/** Resolves with the answer, or with status 0 and the reason without one. */
export function call({ip, port, method, path, headers = {}, body = '', ms}) {
  return new Promise(resolve => {
    const length = Buffer.byteLength(body);
    const framing = length > 0 ? {'content-length': length} : {};
    const req = http.request(
      {
        host: ip,
        port,
        method,
        path,
        agent: false,
        headers: {...headers, ...framing},
      },
      res => {
        const parts = [];
        res.on('data', part => parts.push(part));
        res.on('error', err => end(0, String(err)));
        res.on('end', () => {
          const text = Buffer.concat(parts).toString('utf8');
          end(res.statusCode, text, res.headers);
        });
      }
    );
    const timer = setTimeout(() => {
      req.destroy();
      end(0, 'no answer in time');
    }, ms ?? 1000);
    function end(status, text, answerHeaders = {}) {
      clearTimeout(timer);
      resolve({status, text, headers: answerHeaders});
    }
    req.on('error', err => end(0, String(err)));
    req.end(body);
  });
}

/** Sends an order to one node after the other until it is acknowledged. */
export async function order(record, targets, method, path, body) {
  for (let i = 0; i < 40; i++) {
    const {ip, port} = targets[i % targets.length];
    const {status} = await call({ip, port, method, path, body});
    record(`operator ${method} ${path} at ${ip}:${port}: ${status}`);
    if (status >= 200 && status < 300) return performance.now();
    await sleep(Math.min(100 * (i + 1), 500));
  }
  throw new Error(`${method} ${path} was not acknowledged`);
}

/** Resolves after so many milliseconds. */
export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}
