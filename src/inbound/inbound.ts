/** What the servers of one process share: the memory for requests. */

import {unreachable} from '../core/errors';
import type {Logger} from '../core/logger';
import type {LimitReason, PortName} from './limitReporter';
import {LimitReporter} from './limitReporter';
import type {Machine} from './machine';
import type {MemoryUse} from './memoryAccount';
import {MemoryAccount} from './memoryAccount';
import type {RequestHandler} from './serverGuard';
import {ServerGuard} from './serverGuard';

/** Part of the machine's memory that requests may hold. */
const MEMORY_RATIO = 1 / 8;

/** Dependencies and bounds of all servers. */
export interface InboundOptions {
  readonly machine: Machine;
  /** Requests in progress on one connection. */
  readonly requestsPerConnection: number;
  readonly logger: Logger;
  countLimited(port: PortName, reason: LimitReason): void;
}

/** Bounds the servers of a process. */
export class Inbound {
  readonly memory: MemoryAccount;
  private readonly reporter: LimitReporter;

  constructor({machine, logger, countLimited}: InboundOptions) {
    this.reporter = new LimitReporter(logger, countLimited);
    this.memory = new MemoryAccount(machine.memoryBytes * MEMORY_RATIO, use =>
      this.reporter.report({port: portOf(use), reason: 'memory'})
    );
  }

  /** Creates the guard of a port; requests that it lets through go to the handler. */
  guard(port: PortName, handler: RequestHandler): ServerGuard {
    return new ServerGuard({port, reporter: this.reporter}, handler);
  }
}

function portOf(use: MemoryUse): PortName {
  switch (use) {
    case 'callers':
      return 'callers';
    case 'operators':
      return 'control';
    case 'nodes':
      return 'internal';
    default:
      return unreachable(use);
  }
}
