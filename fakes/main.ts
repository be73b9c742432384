/** `node dist/fakes.cjs engine|ledger|weights` runs one fake as a process. */

import meow from 'meow';
import {FakeEngine} from './engine';
import {ENGINE_DEFAULTS, EngineConfig} from './engine/engineConfig';
import {StepClock} from './engine/stepClock';
import {FakeLedger} from './ledger';
import {FakeWeightStore} from './weightStore';

const HELP = `
  Usage
    $ node dist/fakes.cjs engine|ledger|weights [--port 0] [--NAME VALUE ...]

  Prints {"port":N} once it listens. Engine options are those of
  fakes/engine/engineConfig.ts, such as --step-ms 5 --start-cold; with
  --group g1 --ranks 4 it is that many ranks in lock-step, and prints
  {"port":N,"ports":[...]}.
`;

type Flag =
  | {readonly type: 'string'}
  | {readonly type: 'number'}
  | {readonly type: 'boolean'; readonly default: boolean};

/** CLI flags for all engine settings, typed after their default values. */
function engineFlags(): Record<string, Flag> {
  const flags: Record<string, Flag> = {
    group: {type: 'string'},
    weightStore: {type: 'string'},
    record: {type: 'string'},
    ranks: {type: 'number'},
    latencyMs: {type: 'number'},
    requestsPerSecond: {type: 'number'},
    burst: {type: 'number'},
    bytes: {type: 'number'},
  };
  for (const [name, value] of Object.entries(ENGINE_DEFAULTS))
    flags[name] = flagOf(value);
  return flags;
}

function flagOf(value: string | number | boolean): Flag {
  if (typeof value === 'number') return {type: 'number'};
  if (typeof value === 'boolean') return {type: 'boolean', default: value};
  return {type: 'string'};
}

async function startEngines(
  cfg: Partial<EngineConfig>,
  ranks: number
): Promise<readonly number[]> {
  const clock = new StepClock(cfg.stepMs ?? ENGINE_DEFAULTS.stepMs);
  const engines = Array.from(
    {length: ranks},
    (_, rank) => new FakeEngine({...cfg, rank: cfg.rank ?? rank}, clock)
  );
  const started = await Promise.all(engines.map(engine => engine.start()));
  return started.map(engine => engine.port);
}

async function startFake(
  name: string | undefined,
  cfg: Readonly<Record<string, unknown>>
): Promise<readonly number[]> {
  switch (name) {
    case 'engine':
      return startEngines(cfg, Number(cfg['ranks'] ?? 1));
    case 'ledger':
      return [(await new FakeLedger(cfg).start()).port];
    case 'weights':
      return [(await new FakeWeightStore(cfg).start()).port];
    default:
      throw new Error(`no such fake: ${name ?? '(none)'}`);
  }
}

async function main(): Promise<void> {
  const cli = meow(HELP, {importMeta: import.meta, flags: engineFlags()});
  const given = Object.entries(cli.flags).filter(
    ([, value]) => value !== undefined
  );
  const ports = await startFake(cli.input[0], Object.fromEntries(given));
  const line = ports.length > 1 ? {port: ports[0], ports} : {port: ports[0]};
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

main().catch((err: unknown) => {
  process.stderr.write(`${String(err)}\n`);
  process.exitCode = 1;
});
