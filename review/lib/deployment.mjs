/**
 * A small deployment of nodes: separate processes, started with the command of the
 * deploy file, at loopback addresses of their own and on the same ports.
 */

import {spawn} from 'node:child_process';
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';

export {delay};

const ROOT = path.join(import.meta.dirname, '..', '..');
const SETTINGS_PATH = '/etc/marlpulley/settings.conf';
const OK = 200;
const CALL_TIMEOUT_MS = 1_000;
const RETRY_MS = 100;

/** Bounds of a small installation, as in the example of DEPLOY.md. */
const SETTINGS = {
  'faultTolerance.machines': '1',
  heartbeatMs: '1200',
  'bounds.configApplyMs': '2000',
  'bounds.graceS': '8',
  'bounds.retryBudgetRatio': '0.2',
  'bounds.retryWindowS': '10',
  'bounds.retrySlack': '96',
  'bounds.coldMultiplier': '1.5',
  'bounds.coldSlack': '5',
};

/** Writes what was sent, answered and run, with milliseconds since the start. */
export class Recorder {
  #lines = [];
  #startedAtMs = performance.now();

  constructor(file) {
    this.file = file;
  }

  note(text) {
    const ms = Math.round(performance.now() - this.#startedAtMs);
    this.#lines.push(`${String(ms).padStart(6)} ms  ${text}`);
  }

  save() {
    writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
  }
}

/** Loopback addresses that nothing else is likely to use: 127.x.y.1 and up. */
function newAddresses(count) {
  const octet = () => 20 + Math.floor(Math.random() * 200);
  const prefix = `127.${octet()}.${octet()}`;
  return Array.from({length: count}, (_, i) => `${prefix}.${i + 1}`);
}

/** Ports that are free at all of these addresses. */
async function freePorts(addresses, count) {
  const ports = [];
  while (ports.length < count) {
    const port = 20_000 + Math.floor(Math.random() * 10_000);
    const isFree = await Promise.all(addresses.map(ip => canListen(ip, port)));
    if (isFree.every(Boolean) && !ports.includes(port)) ports.push(port);
  }
  return ports;
}

function canListen(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

function commandLine() {
  const deploy = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
}

function renderTemplate(values) {
  const file = path.join(ROOT, 'deploy/node.ini');
  return readFileSync(file, 'utf8').replace(
    /\{\{([^}]+)\}\}/g,
    (_, name) => values[name] ?? ''
  );
}

/** Makes one HTTP call; rejects without a response within the timeout. */
export function call({
  host,
  port,
  method,
  url,
  body = '',
  timeoutMs = CALL_TIMEOUT_MS,
}) {
  return new Promise((resolve, reject) => {
    const headers = {'content-length': Buffer.byteLength(body)};
    const req = http.request({
      host,
      port,
      method,
      path: url,
      headers,
      agent: false,
    });
    const timer = setTimeout(
      () => req.destroy(new Error('no response')),
      timeoutMs
    );
    req.on('error', reject);
    req.on('close', () => clearTimeout(timer));
    req.on('response', res => {
      const chunks = [];
      res.on('data', chunk => chunks.push(chunk));
      res.on('error', reject);
      res.on('end', () =>
        resolve({
          status: res.statusCode,
          body: Buffer.concat(chunks).toString(),
        })
      );
    });
    req.end(body);
  });
}

/** The nodes of one deployment. The first `disks` of them have a disk. */
export class Deployment {
  #root = mkdtempSync(path.join(tmpdir(), 'marlpulley-review-'));
  #processes = new Map();
  #exits = [];

  constructor(recorder, {nodes = 3, disks = 3, spareAddresses = 16} = {}) {
    this.recorder = recorder;
    const addresses = newAddresses(nodes + spareAddresses);
    this.nodes = addresses.slice(0, nodes);
    this.spare = addresses.slice(nodes);
    this.disks = disks;
  }

  async start() {
    const all = [...this.nodes, ...this.spare];
    const [callers, ready, control, internal, target] = await freePorts(all, 5);
    this.ports = {callers, ready, control, internal, target};
    for (const ip of this.nodes) this.startNode(ip, true);
  }

  startNode(ip, isFirstStart = false) {
    const index = this.nodes.indexOf(ip);
    const {callers, ready, control, internal} = this.ports;
    const dataDir =
      index < this.disks ? path.join(this.#root, `data-${ip}`) : '';
    if (dataDir !== '') mkdirSync(dataDir, {recursive: true});
    const file = path.join(this.#root, `${ip}.conf`);
    const zone = 'abc'[index % 3];
    writeFileSync(
      file,
      renderTemplate({
        ...SETTINGS,
        node: `front-${zone}-${index + 1}`,
        ip,
        zone,
        'listen.front': `${ip}:${callers}`,
        'listen.ready': `${ip}:${ready}`,
        'listen.control': `${ip}:${control}`,
        'internalPorts.0': String(internal),
        seeds: this.nodes
          .slice(0, 3)
          .map(seed => `${seed}:${control}`)
          .join(','),
        bootstrap: String(isFirstStart),
        dataDir,
      })
    );
    const [program, ...args] = commandLine();
    const child = spawn(
      program === 'node' ? process.execPath : program,
      args.map(arg => (arg === SETTINGS_PATH ? file : arg)),
      {
        cwd: ROOT,
        stdio: ['ignore', 'pipe', 'pipe'],
        env: {PATH: process.env.PATH},
      }
    );
    this.recorder.note(`node ${ip} starts, pid ${child.pid}`);
    const log = [];
    child.stdout.on('data', chunk => log.push(chunk));
    child.stderr.on('data', chunk => log.push(chunk));
    const entry = {child, log, isExpectedToEnd: false};
    entry.ended = new Promise(resolve => child.once('exit', resolve));
    child.once('exit', (code, signal) => {
      this.recorder.note(`node ${ip} ended: ${code ?? signal}`);
      if (!entry.isExpectedToEnd)
        this.#exits.push({ip, code, signal, log: this.logOf(entry)});
    });
    this.#processes.set(ip, entry);
  }

  logOf(entry) {
    return Buffer.concat(entry.log).toString();
  }

  log(ip) {
    return this.logOf(this.#processes.get(ip));
  }

  /** Nodes that ended although nothing ended them. */
  get unexpectedExits() {
    return this.#exits;
  }

  signal(ip, signal) {
    this.recorder.note(`${signal} to node ${ip}`);
    this.#processes.get(ip).child.kill(signal);
  }

  async kill(ip, signal = 'SIGKILL') {
    const entry = this.#processes.get(ip);
    entry.isExpectedToEnd = true;
    this.signal(ip, signal);
    await entry.ended;
  }

  /** Address of the node that leads, by the metric that the nodes expose. */
  async leader() {
    for (const ip of this.nodes) {
      const reply = await call({
        host: ip,
        port: 9464,
        method: 'GET',
        url: '/metrics',
      }).catch(() => undefined);
      if (/^marlpulley_leads 1$/m.test(reply?.body ?? '')) return ip;
    }
    return undefined;
  }

  /** Sends the same operator's order until it is acknowledged. */
  async order(method, url, body = '', nodes = this.nodes) {
    const endMs = performance.now() + 20_000;
    for (let i = 0; performance.now() < endMs; i++) {
      const host = nodes[i % nodes.length];
      const reply = await call({
        host,
        port: this.ports.control,
        method,
        url,
        body,
      }).catch(err => ({status: String(err)}));
      this.recorder.note(
        `operator: ${method} ${url} at ${host}: ${reply.status}`
      );
      if (reply.status === OK) return host;
      await delay(RETRY_MS);
    }
    throw new Error(`${method} ${url} was not acknowledged`);
  }

  /** Resolves once all nodes say that they are ready. */
  async untilReady(nodes = this.nodes) {
    const endMs = performance.now() + 20_000;
    const isReady = async host => {
      const reply = await call({
        host,
        port: this.ports.ready,
        method: 'GET',
        url: '/-/readiness',
      }).catch(() => undefined);
      return reply?.status === OK;
    };
    while (performance.now() < endMs) {
      const states = await Promise.all(nodes.map(isReady));
      if (states.every(Boolean)) return;
      await delay(RETRY_MS);
    }
    throw new Error('the nodes did not become ready');
  }

  async stop() {
    for (const ip of this.#processes.keys()) {
      const entry = this.#processes.get(ip);
      if (entry.child.exitCode !== null || entry.child.signalCode !== null)
        continue;
      await this.kill(ip);
    }
    rmSync(this.#root, {recursive: true, force: true});
  }
}
