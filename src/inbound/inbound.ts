/** What the servers of one process share: the memory for requests, and descriptors. */

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
/** Descriptors for files, and for what the runtime opens. */
const RESERVED_DESCRIPTORS = 200;
const MIN_CONNECTIONS = 16;

/** Dependencies and bounds of all servers. */
export interface InboundOptions {
  readonly machine: Machine;
  /** Requests in progress on one connection. */
  readonly requestsPerConnection: number;
  readonly logger: Logger;
  countLimited(port: PortName, reason: LimitReason): void;
}

/** Guards the servers of a process. */
export class Inbound {
  readonly memory: MemoryAccount;
  private readonly reporter: LimitReporter;
  private readonly guards = new Map<PortName, ServerGuard>();

  constructor(private readonly options: InboundOptions) {
    const {machine, logger, countLimited} = options;
    this.reporter = new LimitReporter(logger, countLimited);
    this.memory = new MemoryAccount(machine.memoryBytes * MEMORY_RATIO, use =>
      this.reporter.report({port: portOf(use), reason: 'memory'})
    );
  }

  /** Creates the guard of a port; requests that it lets through go to the handler. */
  guard(port: PortName, handler: RequestHandler): ServerGuard {
    const {machine, requestsPerConnection: maxRequests} = this.options;
    const {memory, reporter} = this;
    const available = machine.descriptors - RESERVED_DESCRIPTORS;
    const share = Math.floor(available * descriptorRatio(port));
    const maxConnections = Math.max(MIN_CONNECTIONS, share);
    const use = useOf(port);
    const bounds = {port, use, maxConnections, maxRequests};
    const guard = new ServerGuard({...bounds, memory, reporter}, handler);
    this.guards.set(port, guard);
    return guard;
  }

  /** Open connections by port. */
  connectionCounts(): ReadonlyMap<PortName, number> {
    const counts = new Map<PortName, number>();
    for (const [port, guard] of this.guards)
      counts.set(port, guard.connectionCount);
    return counts;
  }
}

/** Part of the descriptors; the rest is for connections to targets and nodes. */
function descriptorRatio(port: PortName): number {
  switch (port) {
    case 'callers':
      return 0.4;
    case 'control':
    case 'internal':
      return 0.2;
    case 'metrics':
    case 'ready':
      return 0.02;
    default:
      return unreachable(port);
  }
}

function useOf(port: PortName): MemoryUse {
  switch (port) {
    case 'callers':
      return 'callers';
    case 'control':
    case 'metrics':
    case 'ready':
      return 'operators';
    case 'internal':
      return 'nodes';
    default:
      return unreachable(port);
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
