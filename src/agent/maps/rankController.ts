/** Connects control, the switch state machine of one rank, and its engine. */

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
import type {
  RankAction,
  RankEvent,
  RankMapSwitchConfig,
} from './rankMapSwitchEvents';
import {RankMapSwitch} from './rankMapSwitch';

/** Sends the rank's messages to control. */
export interface ControlLink {
  /** Sends to every known control instance; messages may be lost. */
  send(message: FromRankMessage): void;
}

/** Settings of the controller and its state machine. */
export interface RankControllerConfig extends RankMapSwitchConfig {
  /** Interval of the engine observations, milliseconds. */
  readonly observeIntervalMs: number;
}

type EngineAction = Exclude<RankAction, {kind: 'send'}>;
type StageAction = Extract<EngineAction, {kind: 'stageEngine'}>;
type SerialAction = Exclude<EngineAction, StageAction>;

/**
 * Feeds engine views, messages and ticks to the state machine; executes its
 * actions.
 */
export class RankController {
  private readonly machine: RankMapSwitch;
  private readonly orders = new Subject<SerialAction>();
  private readonly loads = new Subject<StageAction>();

  constructor(
    private readonly cfg: RankControllerConfig,
    private readonly engine: RankEngine,
    private readonly link: ControlLink,
    private readonly metrics: Metrics,
    private readonly logger: Logger
  ) {
    this.machine = new RankMapSwitch(cfg);
  }

  /** Whether the engine takes part in passes and the rank accepts orders. */
  get ready(): boolean {
    return this.machine.ready;
  }

  start(): Subscription {
    const views = timer(0, this.cfg.observeIntervalMs).pipe(
      exhaustMap(() => this.observe())
    );
    const ticks = timer(
      this.cfg.retryIntervalMs,
      this.cfg.retryIntervalMs
    ).pipe(map((): RankEvent => ({kind: 'tick'})));
    // One order at a time: of two concurrent orders, the engine could apply the
    // older one last. Weight loads have their own queue, since no promise
    // depends on them: a decision queued behind one would be seconds late, and
    // all ranks of the group would hold at their barrier until then.
    const results = this.orders.pipe(concatMap(action => this.execute(action)));
    const loaded = this.loads.pipe(concatMap(action => this.execute(action)));
    return merge(views, ticks, results, loaded).subscribe(event =>
      this.handle(event)
    );
  }

  /** Handles a message from control that was validated on arrival. */
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
        this.logger.debug(
          {err},
          `could not observe the engine of rank ${this.cfg.rank} in group ${this.cfg.group}`
        );
        return EMPTY;
      })
    );
  }

  private execute(action: EngineAction): Observable<RankEvent> {
    return defer(() => from(this.order(action))).pipe(
      concatMap(event => (event ? [event] : [])),
      catchError(err => {
        this.logger.warn(
          {err, order: action.kind},
          `order ${action.kind} to the engine of rank ${this.cfg.rank} in group ${this.cfg.group} failed`
        );
        return failureEvents(action);
      })
    );
  }

  private async order(action: EngineAction): Promise<RankEvent | undefined> {
    // The boot id is read before the order is sent, so that the state machine
    // can ignore the response if the engine restarts meanwhile.
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

/** Events that report an order with an unknown outcome to the state machine. */
function failureEvents(action: EngineAction): readonly RankEvent[] {
  switch (action.kind) {
    case 'stageEngine':
      return [{kind: 'staged', order: action.order, ok: false}];
    // If the engine holds after all, the next observation shows it.
    case 'prepareEngine':
      return [{kind: 'prepareLost', version: action.order.version}];
    case 'startEngine':
    case 'decideEngine':
      return [];
  }
}
