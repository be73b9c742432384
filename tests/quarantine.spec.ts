import {LeaderQuarantine} from '../src/cluster/leaderQuarantine';
import {NodeQuarantine} from '../src/cluster/nodeQuarantine';
import {recordingLogger} from './fixtures/recordingLogger';

const PERIOD_MS = 100;

/** Nodes that report to one leader after the other, in turns. */
class Reports {
  nowMs = 0;
  readonly nodes = [new NodeQuarantine(), new NodeQuarantine()] as const;
  private leader = new LeaderQuarantine(recordingLogger().logger);
  private readonly told = new Map<NodeQuarantine, LeaderQuarantine>();

  /** Lets these nodes report for some periods. */
  run(periods = 6, nodes: readonly NodeQuarantine[] = this.nodes): void {
    for (let i = 0; i < periods; i++, this.nowMs += PERIOD_MS)
      for (const node of nodes) this.report(node);
  }

  changeLeader(): void {
    this.leader = new LeaderQuarantine(recordingLogger().logger);
  }

  lift(node: NodeQuarantine, part: string): void {
    const change = {kind: 'lift', service: 's', part} as const;
    this.leader.change(change, this.nowMs);
    node.applyChange(change, this.nowMs);
  }

  crash(node: NodeQuarantine, boot: string, parts: readonly string[]): void {
    node.noteCrash({service: 's', boot, atMs: this.nowMs, parts});
    this.run();
  }

  blockedAt(part: string): readonly boolean[] {
    return this.nodes.map(node => node.blocks('s', [part]));
  }

  private report(node: NodeQuarantine): void {
    const {leader, nowMs} = this;
    const report = node.takeReport(nowMs);
    leader.handleReport(report, nowMs);
    const state = leader.state(nowMs, PERIOD_MS);
    const isNewLeader = this.told.get(node) !== leader;
    this.told.set(node, leader);
    const reply = {isNewLeader, activeNodes: 2};
    node.applyReply(structuredClone(state), report, reply, nowMs);
  }
}

describe('quarantine of parts of prompts over nodes', () => {
  let reports: Reports;
  let a: NodeQuarantine;
  let b: NodeQuarantine;
  beforeEach(() => {
    reports = new Reports();
    [a, b] = reports.nodes;
    reports.run();
  });

  const crashThrice = () => {
    reports.crash(a, 'b1', ['bad', 'x']);
    reports.crash(b, 'b2', ['bad', 'y']);
    reports.crash(a, 'b3', ['bad', 'z']);
  };

  // Guards against nodes that each see too few of the crashes to act.
  it('should block a part at all nodes by what they saw together', () => {
    reports.crash(a, 'b1', ['bad', 'x']);
    reports.crash(b, 'b2', ['bad', 'y']);
    expect(reports.blockedAt('bad')).toEqual([false, false]);
    reports.crash(a, 'b3', ['bad', 'z']);
    expect(reports.blockedAt('bad')).toEqual([true, true]);
    expect(reports.blockedAt('x')).toEqual([false, false]);
  });

  // Guards against a leader that starts with no evidence.
  it('should keep the evidence when the leader changes between crashes', () => {
    reports.crash(a, 'b1', ['bad']);
    reports.crash(b, 'b2', ['bad']);
    reports.changeLeader();
    reports.crash(a, 'b3', ['bad']);
    expect(reports.blockedAt('bad')).toEqual([true, true]);
  });

  it('should keep the quarantine when the leader changes, for all nodes', () => {
    crashThrice();
    reports.changeLeader();
    // One node was restarted: only the other one knows.
    const restarted = new NodeQuarantine();
    reports.run(4, [restarted, b]);
    expect(restarted.blocks('s', ['bad'])).toBe(true);
    expect(b.blocks('s', ['bad'])).toBe(true);
  });

  it('should not blame a part that another node serves', () => {
    for (const boot of ['b1', 'b2', 'b3', 'b4', 'b5']) {
      b.noteServed('s', ['x'], reports.nowMs + 1);
      reports.nowMs += 2;
      reports.crash(a, boot, ['x']);
      b.noteServed('s', ['x'], reports.nowMs);
      reports.run();
    }
    expect(reports.blockedAt('x')).toEqual([false, false]);
  });

  it('should decide alone while no leader replies', () => {
    for (const boot of ['b1', 'b2', 'b3', 'b4', 'b5']) {
      a.noteCrash({service: 's', boot, atMs: reports.nowMs, parts: ['bad']});
      reports.nowMs += 1_000;
    }
    a.takeReport(reports.nowMs);
    expect(a.blocks('s', ['bad'])).toBe(true);
    reports.changeLeader();
    reports.run(3);
    expect(reports.blockedAt('bad')).toEqual([true, true]);
  });

  it('should let an operator add and lift a part for good', () => {
    crashThrice();
    reports.lift(b, 'bad');
    reports.run(3);
    expect(reports.blockedAt('bad')).toEqual([false, false]);
    reports.changeLeader();
    reports.run(20);
    expect(reports.blockedAt('bad')).toEqual([false, false]);
  });

  // A link held a change up while its sender repeated it elsewhere.
  it('should refuse a change that was sent before another', () => {
    const leader = new LeaderQuarantine(recordingLogger().logger);
    const part = {service: 's', part: 'bad'};
    const {lastChange: seenChange} = leader.state(0, PERIOD_MS);
    const add = {kind: 'add', ...part, seenChange} as const;
    const lift = {kind: 'lift', ...part, seenChange} as const;
    expect(leader.change(add, 1).kind).toBe('changed');
    expect(leader.change(lift, 2)).toEqual({kind: 'outdated'});
    expect(leader.state(3, PERIOD_MS).parts).toHaveLength(1);
    // Its acknowledgement may have been lost.
    expect(leader.change(add, 4).kind).toBe('changed');
    const {lastChange} = leader.state(5, PERIOD_MS);
    const next = leader.change({...lift, seenChange: lastChange}, 6);
    expect(next.kind).toBe('changed');
    leader.reset(7);
    expect(leader.change({...add, seenChange: lastChange}, 8).kind).toBe(
      'outdated'
    );
  });

  it('should bound what it keeps of crashes with many parts', () => {
    const parts = Array.from({length: 2_000}, (_, i) => `p${i}`);
    for (let i = 0; i < 200; i++)
      a.noteCrash({service: 's', boot: `b${i}`, atMs: reports.nowMs, parts});
    reports.run(3);
    expect(a.list(reports.nowMs).suspects.length).toBeLessThanOrEqual(64);
  });
});
