/**
 * `npm run quickstart` starts the whole system as separate processes, sends real
 * calls through it, takes a zone out and back in, and prints a summary. It fails
 * if any line of the summary is wrong.
 */

import {
  CallerAnswer,
  assign,
  call,
  chat,
  isExactStream,
  newIdempotencyKey,
} from './deployment/callers';
import {Deployment} from './deployment/deployment';
import {BUILT_PROGRAMS} from './deployment/programs';
import {rulesText} from './deployment/rulesText';
import {SHANNONSIDE} from './deployment/shape';

const ZONE_TO_TAKE_OUT = 'quay-b';
const WHOLE_CALLS = 30;
const STREAMS = 6;
const STREAM_TOKENS = 24;
const READS = 12;
const MAX_CALLS_UNTIL_RETURN = 200;

/** One line of the summary. */
interface Check {
  readonly what: string;
  readonly seen: string;
  readonly ok: boolean;
}

/** Responses to the calls of one round, and the zones that sent them. */
interface Round {
  readonly answers: readonly CallerAnswer[];
  readonly zones: ReadonlySet<string>;
}

class Quickstart {
  readonly checks: Check[] = [];

  constructor(private readonly deployment: Deployment) {}

  async run(): Promise<void> {
    await this.submit(1, []);
    await this.serveEverything();
    await this.assignOnce();
    await this.submit(2, [ZONE_TO_TAKE_OUT]);
    await this.serveWithoutZone();
    await this.submit(3, []);
    await this.serveWithZoneBack();
    await this.checkStatus();
  }

  private check(what: string, seen: string, ok: boolean): void {
    this.checks.push({what, seen, ok});
  }

  private async submit(
    revision: number,
    zonesOut: readonly string[]
  ): Promise<void> {
    const {code, output} = await this.deployment.submit(
      rulesText({revision, zonesOut})
    );
    const last = output.trim().split('\n').at(-1) ?? '';
    const what =
      zonesOut.length === 0 ? 'all zones in' : `${zonesOut.join(', ')} out`;
    this.check(`submit revision ${revision}, ${what}`, last, code === 0);
  }

  private port(i: number): number {
    return this.deployment.entryPort(i % this.deployment.shape.entries);
  }

  private async round(label: string): Promise<Round> {
    const calls = Array.from({length: WHOLE_CALLS}, (_, i) =>
      chat(this.port(i), `${label} ${i}`, 8, false)
    );
    const answers = await Promise.all(calls);
    const zones = new Set(answers.map(answer => this.zoneOf(answer.target)));
    return {answers, zones};
  }

  private zoneOf(targetId: string): string {
    return (
      this.deployment.targets.find(target => target.targetId === targetId)
        ?.availabilityZone ?? 'none'
    );
  }

  private async serveEverything(): Promise<void> {
    const {answers, zones} = await this.round('plan');
    const good = answers.filter(answer => answer.status === 200);
    this.check(
      'whole chat completions',
      `${good.length} of ${WHOLE_CALLS} from ${zones.size} zones`,
      good.length === WHOLE_CALLS
    );
    const streams = await Promise.all(
      Array.from({length: STREAMS}, (_, i) =>
        chat(this.port(i), `stream ${i}`, STREAM_TOKENS, true)
      )
    );
    const exact = streams.filter(answer =>
      isExactStream(answer.body, STREAM_TOKENS)
    );
    this.check(
      'streams with every token once',
      `${exact.length} of ${STREAMS}`,
      exact.length === STREAMS
    );
    const reads = await Promise.all(
      Array.from({length: READS}, (_, i) => call(this.port(i), '/status'))
    );
    const read = reads.filter(answer => answer.status === 200);
    this.check(
      'plain reads',
      `${read.length} of ${READS}`,
      read.length === READS
    );
    const stranger = await call(this.port(0), '/status', {}, 'stranger');
    this.check(
      'an unknown customer',
      `${stranger.status} ${stranger.reason}, ${stranger.outcome}`,
      stranger.reason === 'unknown-customer'
    );
  }

  private async assignOnce(): Promise<void> {
    const key = newIdempotencyKey();
    const resends = await Promise.all(
      [0, 1, 0, 1].map(i => assign(this.port(i), key, 7))
    );
    const runs = await this.runsOf(key);
    const same = new Set(resends.map(answer => answer.body)).size === 1;
    const seen = `${resends.length} sends, ${runs} run, ${same ? 'one answer' : 'differing answers'}`;
    this.check(
      'a plug assignment, resent through both entries',
      seen,
      runs === 1 && same
    );
    const without = await call(this.port(0), '/assign', {
      method: 'POST',
      body: '{}',
    });
    this.check(
      'an assignment without a key',
      `${without.status} ${without.reason}, ${without.outcome}`,
      without.reason === 'key-required'
    );
  }

  private async runsOf(key: string): Promise<number> {
    const ledgers = this.deployment.targets.filter(
      target => target.pool === 'allocation'
    );
    const states = await Promise.all(
      ledgers.map(async ({fakePort}) => {
        const res = await fetch(`http://127.0.0.1:${fakePort}/fake/state`);
        return (await res.json()) as {
          readonly runsByKey: Readonly<Record<string, number>>;
        };
      })
    );
    return states.reduce((sum, state) => sum + (state.runsByKey[key] ?? 0), 0);
  }

  private async serveWithoutZone(): Promise<void> {
    const {answers, zones} = await this.round('zone out');
    const good = answers.filter(answer => answer.status === 200).length;
    const seen = `${good} of ${WHOLE_CALLS} served, from ${[...zones].sort().join(', ')}`;
    this.check(
      `with ${ZONE_TO_TAKE_OUT} out`,
      seen,
      good === WHOLE_CALLS && !zones.has(ZONE_TO_TAKE_OUT)
    );
  }

  private async serveWithZoneBack(): Promise<void> {
    for (let i = 1; i <= MAX_CALLS_UNTIL_RETURN; i++) {
      const answer = await chat(this.port(i), `back ${i}`, 2, false);
      if (answer.status !== 200) break;
      if (this.zoneOf(answer.target) !== ZONE_TO_TAKE_OUT) continue;
      this.check(
        `with ${ZONE_TO_TAKE_OUT} back`,
        `served there again at call ${i}`,
        true
      );
      return;
    }
    this.check(
      `with ${ZONE_TO_TAKE_OUT} back`,
      'not served there again',
      false
    );
  }

  private async checkStatus(): Promise<void> {
    const {code, output} = await this.deployment.client(['status']);
    const instances = output
      .split('\n')
      .filter(line => line.startsWith('control-')).length;
    this.check(
      'status',
      `${instances} control instances answer`,
      code === 0 && instances === this.deployment.shape.controls
    );
  }
}

function print(checks: readonly Check[]): void {
  const width = Math.max(...checks.map(check => check.what.length));
  for (const {what, seen, ok} of checks) {
    process.stdout.write(
      `${ok ? 'ok   ' : 'WRONG'}  ${what.padEnd(width)}  ${seen}\n`
    );
  }
}

async function main(): Promise<number> {
  const startedAtMs = performance.now();
  const deployment = await Deployment.start(BUILT_PROGRAMS, SHANNONSIDE);
  const count = deployment.processNames().length;
  const startMs = Math.round(performance.now() - startedAtMs);
  process.stdout.write(`${count} processes started in ${startMs} ms\n\n`);
  const quickstart = new Quickstart(deployment);
  let isClean = true;
  try {
    await quickstart.run();
  } finally {
    isClean = await deployment.stop('SIGTERM');
  }
  quickstart.checks.push({
    what: 'graceful end',
    seen: isClean ? 'every process drained' : 'not clean',
    ok: isClean,
  });
  print(quickstart.checks);
  const ok = quickstart.checks.every(check => check.ok);
  const totalMs = Math.round(performance.now() - startedAtMs);
  process.stdout.write(
    `\n${ok ? 'all as expected' : 'SOMETHING IS WRONG'}, ${totalMs} ms\n`
  );
  return ok ? 0 : 1;
}

main().then(
  code => {
    process.exitCode = code;
  },
  (err: unknown) => {
    process.stderr.write(`${err instanceof Error ? err.stack : String(err)}\n`);
    process.exitCode = 1;
  }
);
