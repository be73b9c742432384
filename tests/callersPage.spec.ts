import http from 'node:http';
import {readFileSync} from 'node:fs';
import {FakeEngine} from '../fakes/engine';
import {FakeLedger} from '../fakes/ledger';
import {REFUSALS} from '../src/core/refusal';
import {exampleOf, runExample} from './fixtures/pageExamples';
import {runCleanups, startScriptedServer, startFake} from './fixtures/targets';

const PAGE = 'CALLERS.md';

/** Starts a proxy to a port, in place of an entry; returns its URL. */
async function startProxy(port: number): Promise<string> {
  const {port: proxyPort} = await startScriptedServer((req, res) => {
    const {url, method, headers} = req;
    const upstream = http.request(
      {port, path: url, method, headers},
      response => {
        res.writeHead(response.statusCode ?? 500, response.headers);
        response.on('error', () => res.destroy()).pipe(res);
      }
    );
    upstream.on('error', () => res.destroy());
    req.pipe(upstream);
  });
  return `http://127.0.0.1:${proxyPort}`;
}

afterEach(runCleanups);

describe('the page for callers', () => {
  it('should list every refusal as the code has it', () => {
    const rows = readFileSync(`docs/${PAGE}`, 'utf8')
      .split('\n')
      .map(line => line.split('|').map(cell => cell.trim()))
      .filter(cells => cells.length === 7 && cells[1]?.startsWith('`'))
      .map(cells => cells.slice(1, 6));
    const expected = Object.entries(REFUSALS).map(([reason, kind]) => [
      `\`${reason}\``,
      String(kind.status),
      kind.outcome,
      kind.retryable ? 'yes' : 'no',
      kind.meaning,
    ]);
    expect(rows).toEqual(expected);
  });

  it('should resend an assignment under one key of version 7', async () => {
    const ledger = await startFake(new FakeLedger());
    ledger.injectFault({kind: 'closeBeforeRead', times: 1});
    const url = await startProxy(ledger.port);
    const printed = await runExample(exampleOf(PAGE, 'assign'), url);
    expect(printed).toMatchObject({
      status: 201,
      body: {accepted: {box: 'MSKU1234567', socket: 'C-14'}},
    });
    const [key] = Object.keys(ledger.runsByKey());
    expect(key).toMatch(
      /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/
    );
    expect(ledger.runsByKey()).toEqual({[key!]: 1});
  });

  it('should resume a stream whose connection broke', async () => {
    const engine = await startFake(new FakeEngine({stepMs: 1}));
    const url = await startProxy(engine.port);
    const whole = await runExample(exampleOf(PAGE, 'stream'), url);
    engine.control({kind: 'cutAtToken', token: 11, times: 1});
    engine.control({kind: 'endAtToken', token: 23, times: 1});
    expect(await runExample(exampleOf(PAGE, 'stream'), url)).toEqual(whole);
    expect(whole).toMatchObject({tokens: 40});
    expect(engine.counters.resumedFrom).toEqual({anonymous: [11, 23]});
  });
});
