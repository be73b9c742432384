/** Ranks that have started and wait to be told what is in force. */

import type {JoinRequest} from '../../core/mapMessages';
import type {GroupMaps} from './mapState';
import type {SwitchAction} from './mapSwitchEvents';

/** A join and the first read that may answer it. */
interface WaitingJoin {
  readonly req: JoinRequest;
  readonly seq: number;
}

/** The newest join of each rank. */
export class WaitingJoins {
  private readonly byRank = new Map<number, WaitingJoin>();

  get size(): number {
    return this.byRank.size;
  }

  /** `seq` is the number of the first read that may answer it. */
  add(req: JoinRequest, seq: number): void {
    this.byRank.set(req.rank, {req, seq});
  }

  clear(): void {
    this.byRank.clear();
  }

  /** Answers with what read `seq` found, and forgets those answered. */
  answer(
    seq: number,
    group: string,
    {fence, current, previous}: GroupMaps
  ): readonly SwitchAction[] {
    if (current === undefined) return [];
    // A read begun before the rank asked may be from before a switch in which
    // that rank took part until it restarted.
    const answerable = [...this.byRank.values()].filter(
      join => join.seq <= seq
    );
    answerable.forEach(({req}) => this.byRank.delete(req.rank));
    return answerable.map(({req: {rank, attempt}}): SwitchAction => ({
      kind: 'send',
      rank,
      message: {
        kind: 'joinAnswer',
        group,
        attempt,
        fence,
        current,
        previous,
      },
    }));
  }
}
