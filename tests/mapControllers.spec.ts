import {BehaviorSubject} from 'rxjs';
import type {Subscription} from 'rxjs';
import {LockStepEngine} from '../bench/fuzz/lockStepEngine';
import {RankController} from '../src/agent/maps/rankController';
import type {RankEngine} from '../src/agent/maps/rankEngine';
import type {LogStatus} from '../src/control/log/replicatedLog';
import {MapController} from '../src/control/maps/mapController';
import {MapState} from '../src/control/maps/mapState';
import type {Command, CommandResult} from '../src/control/state/command';
import {createLogger} from '../src/core/logger';
import type {PrepareMessage} from '../src/core/mapMessages';
import {Metrics} from '../src/core/metrics';
import {evenShape} from '../src/policy/placement';
import {placeFromScratch} from '../src/policy/placementGreedy';
import {REBALANCE_DEFAULTS} from '../src/policy/rebalanceDecision';

const RANKS = 4;
const EXPERTS = 16;
const GROUP = 'g';
const STEP_MS = 30;
const LEADER: LogStatus = {
  role: 'leader',
  term: 1,
  commitIndex: 0,
  lastIndex: 0,
  voter: true,
  voterIds: ['c1'],
  incarnation: 'd1',
  voters: [],
};
const FLAT = Array.from({length: EXPERTS}, () => 100);
const ZIPF = Array.from({length: EXPERTS}, (_, i) => 1000 / (i + 1));

/** A lock-step group with its agents, one control instance and its log. */
class GroupFixture {
  readonly engines = Array.from(
    {length: RANKS},
    () => new LockStepEngine(false)
  );
  readonly state = new MapState();
  readonly status$ = new BehaviorSubject(LEADER);
  readonly metrics = new Metrics('test');
  readonly staged: string[] = [];
  readonly versions = new Map<number, Set<number>>();
  logUp = true;
  storeUp = true;
  storeHangs = false;
  loadsArrive = true;
  rebalanceEnabled = true;
  counts: readonly number[] = FLAT;
  private agentBootId = 'boot-1';
  private seq = 0;
  private readonly running: Subscription[] = [];
  private readonly agents: RankController[];
  private readonly control: MapController;

  constructor() {
    const logger = createLogger('test', 'test', 'fatal');
    const shape = evenShape(RANKS, EXPERTS, 4);
    this.control = new MapController(
      {
        group: GROUP,
        ranks: RANKS,
        holder: 'c1',
        initialMap: placeFromScratch(shape, FLAT),
        marginPasses: 10,
        maxMarginPasses: 80,
        promiseTimeoutMs: 1000,
        resendMs: 100,
        proposeRetryMs: 500,
        experts: EXPERTS,
        rebalance: REBALANCE_DEFAULTS,
        tickMs: 250,
      },
      {
        propose: command => this.propose(command),
        readBarrier: () => this.answer(undefined),
        status$: this.status$,
      },
      this.state,
      {
        send: (rank, message) => {
          if (message.kind === 'stage' && !this.loadsArrive) return;
          this.agents[rank]?.receive(message);
        },
      },
      () => ({on: this.rebalanceEnabled, minGain: 0}),
      this.metrics,
      logger
    );
    this.agents = this.engines.map(
      (engine, rank) =>
        new RankController(
          {
            group: GROUP,
            rank,
            agentBootId: `a${rank}`,
            bootAtMs: performance.now(),
            maxOrderDelayMs: 100,
            retryIntervalMs: 100,
            observeIntervalMs: 20,
          },
          this.engineOf(engine),
          {send: message => this.control.receive(message)},
          this.metrics,
          logger
        )
    );
    this.running.push(this.control.start());
    this.agents.forEach(agent => this.running.push(agent.start()));
  }

  private engineOf(engine: LockStepEngine): RankEngine {
    return {
      observe: async () => engine.view(),
      startMap: async order =>
        void engine.apply({kind: 'startEngine', ...order}, false),
      stageExpert: async ({slot, expert}) => {
        if (!this.storeUp) throw new Error('rate limited');
        if (this.storeHangs) await new Promise(() => undefined);
        this.staged.push(`${slot}:${expert}`);
      },
      prepareMap: async (order: PrepareMessage) => {
        const answer = engine.apply({kind: 'prepareEngine', order}, false);
        return answer?.kind === 'prepared' ? answer.result : 'failed';
      },
      decideMap: async order =>
        void engine.apply({kind: 'decideEngine', ...order}, false),
    };
  }

  private async propose(command: Command): Promise<CommandResult> {
    await this.answer(undefined);
    if (command.kind === 'fence')
      return {command: 'fence', result: this.state.applyFence(command)};
    if (command.kind !== 'mapDecision') return {command: 'noop'};
    const result = this.state.applyDecision(command);
    return {command: 'mapDecision', result};
  }

  private async answer<T>(value: T): Promise<T> {
    if (!this.logUp) throw new Error('no quorum');
    return value;
  }

  /** Runs the group for a time; every rank reports about once per second. */
  async run(ms: number): Promise<void> {
    for (let at = 0; at < ms; at += STEP_MS) {
      await jest.advanceTimersByTimeAsync(STEP_MS);
      this.step();
      if (++this.seq % 33 === 0) this.report();
    }
  }

  private step(): void {
    const minStep = Math.min(...this.engines.map(engine => engine.step));
    if (!this.engines.every(engine => engine.up && engine.running)) return;
    for (const engine of this.engines.filter(e => e.step === minStep)) {
      const version = engine.runPass();
      if (version === undefined) continue;
      const seen = this.versions.get(minStep) ?? new Set<number>();
      this.versions.set(minStep, seen.add(version));
    }
  }

  private report(): void {
    this.engines.forEach((engine, rank) =>
      this.control.receive({
        kind: 'expertCounts',
        group: GROUP,
        rank,
        agentBootId: this.agentBootId,
        seq: this.seq,
        step: engine.step,
        ageMs: 500,
        counts: this.counts,
      })
    );
  }

  /** Every rank asks for the active map, as after a restart of its agent. */
  joinAll(): void {
    this.engines.forEach((_, rank) => {
      const attempt = `again-${rank}`;
      this.control.receive({kind: 'join', group: GROUP, rank, attempt});
    });
  }

  /** Restarted agents number their reports from 1 again. */
  restartReports(): void {
    this.agentBootId = 'boot-2';
    this.seq = 0;
  }

  get current() {
    return this.state.group(GROUP).current;
  }

  /** Number of passes that ran with more than one map. */
  get mixedSteps(): number {
    return [...this.versions.values()].filter(seen => seen.size > 1).length;
  }

  count(prefix: string): number {
    return Object.entries(this.metrics.snapshot())
      .filter(([name]) => name.startsWith(prefix))
      .reduce((sum, [, value]) => sum + value, 0);
  }

  close(): void {
    this.running.forEach(subscription => subscription.unsubscribe());
    this.metrics.close();
  }
}

describe('controllers of expert maps', () => {
  let group: GroupFixture;

  beforeEach(() => {
    jest.useFakeTimers();
    group = new GroupFixture();
  });

  afterEach(() => {
    group.close();
    jest.useRealTimers();
  });

  it('should start the ranks, and change maps when popularity moves', async () => {
    await group.run(3000);
    const first = group.current?.version ?? 0;
    expect(group.engines.every(engine => engine.running)).toBe(true);
    group.counts = ZIPF;
    await group.run(10_000);
    expect(group.staged.length).toBeGreaterThan(0);
    expect(group.current?.version).toBeGreaterThan(first);
    const views = group.engines.map(engine => engine.view().mapVersion);
    expect(Math.max(...views)).toBeGreaterThan(first);
    expect(group.mixedSteps).toBe(0);
  });

  it('should not change the map while rules do not enable rebalancing', async () => {
    group.rebalanceEnabled = false;
    await group.run(3000);
    const first = group.current?.version;
    group.counts = ZIPF;
    await group.run(5000);
    expect(group.staged).toEqual([]);
    expect(group.current?.version).toBe(first);
  });

  // The engine of one rank restarts during switches and has no map. Its agent
  // asks control for it again and the group continues.
  it('should restore a rank whose engine restarts', async () => {
    await group.run(3000);
    group.counts = ZIPF;
    await group.run(3000);
    group.engines[2]?.start();
    const before = group.engines[0]?.step ?? 0;
    await group.run(3000);
    expect(group.engines[0]?.step).toBeGreaterThan(before + 10);
    expect(group.mixedSteps).toBe(0);
  });

  // Passes become slower and slower after all agents were restarted while the
  // popularity changes: their reports are numbered from 1 again, below those of
  // the previous boot, and the controller must not ignore them as old.
  it('should follow the reports of agents that restarted', async () => {
    await group.run(6000);
    group.restartReports();
    group.counts = ZIPF;
    await group.run(3000);
    expect(group.staged.length).toBeGreaterThan(0);
  });

  // Passes stay slow for half a minute after an agent dies: its load orders are
  // lost with it, and the planner, which plans one batch at a time, waits for
  // them. A rank that joins again shows that they are lost.
  it('should plan again when a rank with open load orders restarts', async () => {
    await group.run(3000);
    group.loadsArrive = false;
    group.counts = ZIPF;
    await group.run(2000);
    group.loadsArrive = true;
    group.joinAll();
    await group.run(2000);
    expect(group.staged.length).toBeGreaterThan(0);
  });

  // Every caller of the group would wait while one rank loads weights if the
  // order to hold or to switch were queued behind that load, since the other
  // ranks hold before the switch. A change of the shares alone must not wait.
  it('should switch maps while weights are loading', async () => {
    await group.run(3000);
    const first = group.current?.version ?? 0;
    group.storeHangs = true;
    group.counts = ZIPF;
    await group.run(3000);
    expect(group.current?.version).toBeGreaterThan(first);
    expect(group.mixedSteps).toBe(0);
  });

  // The log loses its quorum: no decision can be made or sent, and a rank that
  // holds before the switch waits. The group continues when the quorum is back.
  it('should wait without a quorum and continue with it', async () => {
    await group.run(3000);
    group.counts = ZIPF;
    group.logUp = false;
    await group.run(4000);
    const version = group.current?.version;
    group.logUp = true;
    await group.run(6000);
    expect(group.current?.version).toBeGreaterThan(version ?? 0);
    expect(group.mixedSteps).toBe(0);
  });

  it('should keep the slots while the weight store fails', async () => {
    await group.run(3000);
    const slots = group.current?.map.slots;
    group.storeUp = false;
    group.counts = ZIPF;
    await group.run(5000);
    expect(group.current?.map.slots).toEqual(slots);
    expect(group.mixedSteps).toBe(0);
  });

  it('should do nothing once another instance leads', async () => {
    await group.run(3000);
    group.status$.next({...LEADER, role: 'follower'});
    group.counts = ZIPF;
    const version = group.current?.version;
    await group.run(3000);
    expect(group.current?.version).toBe(version);
    expect(group.count('map.aborted')).toBe(0);
  });
});
