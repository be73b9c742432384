/** Logs changes of concurrency limits, which are recomputed all the time. */

import type {Logger} from '../core/logger';
import {rounded} from '../core/rounded';
import {sum} from '../core/sum';
import type {ServiceLoad} from './messages';
import {inFlightOf} from './nodeReports';
import type {ServiceConcurrency} from './serviceConcurrency';

/** Relative change of a service's concurrency above which it is logged. */
const MIN_LOGGED_CHANGE_RATIO = 0.1;

interface LoggedLimit {
  readonly total: number;
  readonly reasons: string;
}

/** Compares the limits of each service with those logged last. */
export class LimitChangeLogger {
  private readonly logged = new Map<string, LoggedLimit>();

  constructor(private readonly logger: Logger) {}

  logIfChanged(
    service: string,
    {total, groups}: ServiceConcurrency,
    loads: readonly ServiceLoad[]
  ): void {
    const reasons = groups.map(({name, reason}) => `${name} ${reason}`).join();
    const last = this.logged.get(service);
    const isUnchanged =
      last?.reasons === reasons &&
      Math.abs(total - last.total) <= last.total * MIN_LOGGED_CHANGE_RATIO;
    if (isUnchanged) return;
    this.logged.set(service, {total, reasons});
    const running = inFlightOf(loads);
    const waiting = sum(loads.map(load => load.waiting));
    this.logger.info(
      {
        event: 'places.changed',
        service,
        ...rounded({places: total, running, waiting}),
        groups: groups.map(({name, reason, outlook, ...numbers}) => ({
          name,
          reason,
          ...rounded(numbers),
          ...outlook,
        })),
      },
      `concurrency limits of service ${service} changed`
    );
  }
}
