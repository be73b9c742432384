/** Creates the adapter for each kind of target. */

import {unreachable} from '../core/errors';
import {EngineAdapter} from './engineAdapter';
import {ServiceAdapter} from './serviceAdapter';
import type {TargetAdapter} from './targetAdapter';

/** As in the rule `pool NAME engine|service`. */
export type TargetKind = 'engine' | 'service';

/** Options that depend on the deployment. */
export interface TargetOptions {
  /**
   * Path of a service's health check; without it, a TCP connect is the check.
   */
  readonly healthPath?: string;
}

/** Creates the adapter for the target at an address. */
export function createTargetAdapter(
  kind: TargetKind,
  host: string,
  port: number,
  options: TargetOptions = {}
): TargetAdapter {
  switch (kind) {
    case 'engine':
      return new EngineAdapter(host, port);
    case 'service':
      return new ServiceAdapter(host, port, options.healthPath);
    default:
      return unreachable(kind);
  }
}
