/** Carries the messages of control to the rank's engine and back. */

import type {Observable, Subscription} from 'rxjs';
import {
  catchError,
  concatMap,
  defer,
  EMPTY,
  exhaustMap,
  from,
  map,
  merge,
  Subject,
  timer,
} from 'rxjs';
import type {Logger} from '../../core/logger';
import type {FromRankMessage, ToRankMessage} from '../../core/mapMessages';
import type {Metrics} from '../../core/metrics';
import type {RankEngine} from './rankEngine';
import type {RankAction, RankEvent, RankSwitchConfig} from './rankSwitch';
import {RankSwitch} from './rankSwitch';

/** What the rank side needs of the way to control. */
export interface ControlLink {
  /** Sends to every control instance known; loss is expected. */
  send(message: FromRankMessage): void;
}

/** Settings of the loop. */
export interface RankControllerConfig extends RankSwitchConfig {
  /** Time between two looks at the engine, milliseconds. */
  readonly observeMs: number;
}

type EngineAction = Exclude<RankAction, {kind: 'send'}>;
type StageAction = Extract<EngineAction, {kind: 'stageEngine'}>;
type SwitchOrder = Exclude<EngineAction, StageAction>;

/** One rank's loop: engine views, messages and time go in, orders come out. */
export class RankController {
  private readonly machine: RankSwitch;
  private readonly orders = new Subject<SwitchOrder>();
  private readonly loads = new Subject<StageAction>();

  constructor(
    private readonly cfg: RankControllerConfig,
    private readonly engine: RankEngine,
    private readonly link: ControlLink,
    private readonly metrics: Metrics,
    private readonly logger: Logger
  ) {
    this.machine = new RankSwitch(cfg);
  }

  /** Whether the engine takes part in steps and orders are accepted. */
  get ready(): boolean {
    return this.machine.ready;
  }

  start(): Subscription {
    const views = timer(0, this.cfg.observeMs).pipe(
      exhaustMap(() => this.observe())
    );
    const ticks = timer(this.cfg.retryMs, this.cfg.retryMs).pipe(
      map((): RankEvent => ({kind: 'tick'}))
    );
    // One order at a time: an engine that got two at once could take an
    // older one for the newer. Loads stand in a line of their own, since they
    // promise nothing: behind one, a decision would come seconds late, and all
    // ranks of the group would stand at their barrier until then.
    const results = this.orders.pipe(
      concatMap(action => this.carryOut(action))
    );
    const loaded = this.loads.pipe(concatMap(action => this.carryOut(action)));
    return merge(views, ticks, results, loaded).subscribe(event =>
      this.handle(event)
    );
  }

  /** Takes a message of control that was validated at the edge. */
  receive(message: ToRankMessage): void {
    this.handle({kind: 'message', message});
  }

  private handle(event: RankEvent): void {
    for (const action of this.machine.handle(event, performance.now())) {
      switch (action.kind) {
        case 'send':
          this.send(action.message);
          break;
        case 'stageEngine':
          this.loads.next(action);
          break;
        default:
          this.orders.next(action);
      }
    }
  }

  private send(message: FromRankMessage): void {
    if (message.kind === 'refusal') {
      const {reason} = message;
      this.metrics.count('map.aborted', {side: 'rank', reason});
    }
    this.link.send(message);
  }

  private observe(): Observable<RankEvent> {
    return defer(() => from(this.engine.observe())).pipe(
      map((view): RankEvent => ({kind: 'engine', view})),
      catchError(err => {
        this.logger.debug({err}, 'engine did not answer');
        return EMPTY;
      })
    );
  }

  private carryOut(action: EngineAction): Observable<RankEvent> {
    return defer(() => from(this.order(action))).pipe(
      concatMap(event => (event ? [event] : [])),
      catchError(err => {
        this.logger.warn({err, order: action.kind}, 'order failed');
        return failureOf(action);
      })
    );
  }

  private async order(action: EngineAction): Promise<RankEvent | undefined> {
    // Taken before the order: an answer of a boot that is over counts nothing.
    switch (action.kind) {
      case 'startEngine': {
        const {bootId} = await this.engine.observe();
        await this.engine.startMap(action);
        return {kind: 'started', bootId};
      }
      case 'stageEngine':
        await this.engine.stageExpert(action.order);
        return {kind: 'staged', order: action.order, ok: true};
      case 'prepareEngine': {
        const {bootId} = await this.engine.observe();
        const {version} = action.order;
        const result = await this.engine.prepareMap(action.order);
        return {kind: 'prepared', bootId, version, result};
      }
      case 'decideEngine':
        await this.engine.decideMap(action);
        if (action.decision === 'commit') this.metrics.count('map.switched');
        return undefined;
    }
  }
}

/** What the machine is told of an order whose outcome is not known. */
function failureOf(action: EngineAction): readonly RankEvent[] {
  switch (action.kind) {
    case 'stageEngine':
      return [{kind: 'staged', order: action.order, ok: false}];
    // If the engine holds after all, the next look at it shows that.
    case 'prepareEngine':
      return [{kind: 'prepareLost', version: action.order.version}];
    case 'startEngine':
    case 'decideEngine':
      return [];
  }
}
