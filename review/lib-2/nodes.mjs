/** Starts nodes as the deploy file does, each at a loopback address of its own. */

import {spawn} from 'node:child_process';
import {createWriteStream, mkdirSync, mkdtempSync, rmSync} from 'node:fs';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';

const ROOT = path.resolve(import.meta.dirname, '../..');
const PORTS = {internal: 7340, front: 8227, ready: 8220, control: 8229};
const BOUNDS = {
  configApplyMs: 2000,
  retryBudgetRatio: 0.2,
  retrySlack: 96,
  retryWindowS: 10,
  coldMultiplier: 1.5,
  coldSlack: 5,
  graceS: 8,
};

/** Words of `run` of the only role. */
function command() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "([^"]+)"/m.exec(text)?.[1] ?? '';
  return run.split(' ');
}

/** Fills the placeholders of the template of the settings. */
function fill(template, fields) {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_, name) => {
    const value = name.split('.').reduce((all, key) => all?.[key], fields);
    return Array.isArray(value) ? value.join(',') : String(value ?? '');
  });
}

function isFree(ip, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/** A prefix 127.X.Y in which the ports of all nodes are free. */
async function freeSubnet(count) {
  for (let i = 0; i < 50; i++) {
    const subnet = `127.${60 + Math.floor(Math.random() * 60)}.${1 + Math.floor(Math.random() * 250)}`;
    const checks = [];
    for (let n = 1; n <= count; n++)
      for (const port of [...Object.values(PORTS), 9464])
        checks.push(isFree(`${subnet}.${n}`, port));
    if ((await Promise.all(checks)).every(Boolean)) return subnet;
  }
  throw new Error('no free ports');
}

/** Nodes of one deployment. */
export class Nodes {
  constructor(subnet, plan) {
    this.subnet = subnet;
    this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
    this.children = new Map();
    // Also when the case is given up.
    process.once('exit', () => {
      for (const child of this.children.values()) child.kill('SIGKILL');
    });
    this.leaderTerms = new Map();
    this.nodes = plan.map(({zone, hasDisk}, i) => ({
      ip: `${subnet}.${i + 1}`,
      zone,
      hasDisk,
    }));
  }

  static async create(plan) {
    if (!existsSync(path.join(ROOT, 'target/marlpulley.cjs')))
      throw new Error('target/marlpulley.cjs is missing: build first');
    return new Nodes(await freeSubnet(plan.length), plan);
  }

  get ips() {
    return this.nodes.map(({ip}) => ip);
  }

  get ports() {
    return PORTS;
  }

  startAll() {
    for (const {ip} of this.nodes) this.start(ip, true);
  }

  /** `disk` names another, empty disk than the one that the node had before. */
  start(ip, isFirstStart = false, disk = 'data') {
    const node = this.nodes.find(one => one.ip === ip);
    const file = path.join(this.folder, `${ip}.ini`);
    const dataDir = path.join(this.folder, `${disk}-${ip}`);
    if (node.hasDisk) mkdirSync(dataDir, {recursive: true});
    const seeds = this.nodes
      .filter(({hasDisk}) => hasDisk)
      .map(one => `${one.ip}:${PORTS.control}`);
    const template = readFileSync(path.join(ROOT, 'deploy/node.ini'), 'utf8');
    const fields = {
      node: `front-${ip}`,
      zone: node.zone,
      ip,
      limits: {memoryMb: 350, maxFds: 4100},
      internalPorts: [PORTS.internal, PORTS.internal + 15],
      seeds,
      bootstrap: isFirstStart,
      faultTolerance: {machines: 1},
      dataDir: node.hasDisk ? dataDir : '',
      listen: {
        front: `${ip}:${PORTS.front}`,
        ready: `${ip}:${PORTS.ready}`,
        control: `${ip}:${PORTS.control}`,
      },
      heartbeatMs: 1200,
      bounds: BOUNDS,
    };
    writeFileSync(file, fill(template, fields));
    const [program, ...args] = command();
    const words = args.map(arg => (arg.endsWith('.conf') ? file : arg));
    const child = spawn(
      program === 'node' ? process.execPath : program,
      words,
      {
        cwd: ROOT,
        stdio: ['ignore', 'pipe', 'inherit'],
      }
    );
    const log = createWriteStream(path.join(this.folder, `${ip}.log`), {
      flags: 'a',
    });
    child.stdout.on('data', data => {
      log.write(data);
      for (const line of String(data).split('\n')) this.noteLine(ip, line);
    });
    this.children.set(ip, child);
  }

  noteLine(ip, line) {
    if (!line.includes('log.changed')) return;
    try {
      const {role, term} = JSON.parse(line);
      if (role === 'leader') this.leaderTerms.set(ip, term);
    } catch {
      // A line that was cut names no leader.
    }
  }

  /** The node that became the leader last. */
  get leader() {
    const all = [...this.leaderTerms].sort((a, b) => b[1] - a[1]);
    return all[0]?.[0];
  }

  signal(ip, name) {
    this.children.get(ip)?.kill(name);
  }

  async stop() {
    const ends = [...this.children.values()].map(child =>
      child.exitCode !== null || child.signalCode !== null
        ? undefined
        : new Promise(done => child.once('exit', done))
    );
    for (const child of this.children.values()) {
      child.kill('SIGKILL');
      child.kill('SIGCONT');
    }
    await Promise.all(ends);
    if (process.env.KEEP === undefined)
      rmSync(this.folder, {recursive: true, force: true});
  }
}
