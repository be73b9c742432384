/**
 * Schemas of the settings of each role by section, with keys as in the file.
 */

import * as z from 'zod';
import {
  integer,
  integerOrNothing,
  name,
  oneOf,
  textSchema,
} from '../core/textSchemas';
import {
  ipAddressList,
  anyPort,
  decimal,
  filePath,
  fixedPort,
  headerName,
  hostPort,
  instanceList,
  ipAddress,
  secret,
  setting,
} from './settingSchemas';

const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error'] as const;
const KIB = 1024;
const MIB = 1024 * KIB;
const MINUTE_MS = 60_000;

const PROCESS = z.strictObject({
  id: setting(name(), 'name of this process, unique in the deployment'),
  'availability-zone': setting(name(), 'where this process runs'),
  host: setting(ipAddress(), 'where it listens and where others reach it'),
  'log-level': setting(
    oneOf(...LOG_LEVELS).default('info'),
    'least level of the JSON log lines on stderr'
  ),
  'metrics-host': setting(
    ipAddress().optional(),
    'where counters go in the StatsD protocol; needs metrics-port too'
  ),
  'metrics-port': setting(fixedPort().optional(), 'UDP port of metrics-host'),
});

const SECRET_KEYS = {
  key: setting(
    secret().optional(),
    'secret that all processes share; either this or key-file'
  ),
  'key-file': setting(filePath().optional(), 'file that holds the secret'),
};

const ACCEPTED_SECRET_KEYS = {
  'accept-key': setting(
    secret().optional(),
    'second secret to accept while one replaces the other; never offered'
  ),
  'accept-key-file': setting(
    filePath().optional(),
    'file that holds the second secret'
  ),
};

const INTERNAL = z.strictObject({
  port: setting(anyPort().default(0), 'port for the other processes'),
  ...SECRET_KEYS,
  ...ACCEPTED_SECRET_KEYS,
});

const INTERNAL_FIXED_PORT = z.strictObject({
  port: setting(fixedPort(), 'port for the other processes'),
  ...SECRET_KEYS,
  ...ACCEPTED_SECRET_KEYS,
});

const INSTANCES = setting(instanceList(), 'all control instances');

const CONTROL = z.strictObject({
  instances: INSTANCES,
  'proof-ms': setting(
    integer(500, MINUTE_MS).default(2500),
    'age at which a proof that the rules are current runs out'
  ),
  'poll-ms': setting(
    integer(20, 10_000).default(500),
    'time between two polls of a control instance'
  ),
});

const ENTRY_CONTROL = CONTROL.extend({
  'subset-size': setting(
    integer(4, 100_000).default(64),
    'targets of each pool that the entry follows, and one more in each zone without'
  ),
});

const CALLERS = z.strictObject({
  port: setting(anyPort(), 'port for callers'),
  'customer-header': setting(
    headerName().default('x-customer'),
    'header that names the customer'
  ),
  'max-body-bytes': setting(
    integer(KIB, 64 * MIB).default(MIB),
    'largest body of a request'
  ),
  'max-header-bytes': setting(
    integer(KIB, MIB).default(16 * KIB),
    'largest head of a request'
  ),
  'header-timeout-ms': setting(
    integer(100, 10 * MINUTE_MS).default(10_000),
    'time a caller has to send the head of a request'
  ),
  'drain-ms': setting(
    integer(0, 10 * MINUTE_MS).default(5000),
    'time after SIGTERM in which new requests are still served, until the platform sends no more'
  ),
});

const CUSTOMER_KEYS = z
  .record(z.string(), name())
  .default({})
  .meta({meaning: 'secret = customer; with any line, callers must send one'});

const TARGET = z.strictObject({
  id: setting(name(), 'name of the target beside this agent, unique'),
  pool: setting(name(), 'pool of the target, as in the rule file'),
  kind: setting(oneOf('engine', 'service'), 'what the target is'),
  host: setting(ipAddress(), 'where the target listens'),
  port: setting(fixedPort(), 'port of the target'),
  'probe-interval-ms': setting(
    integer(20, MINUTE_MS).default(250),
    'time between two probes of the target'
  ),
  'drain-ms': setting(
    integer(0, 60 * MINUTE_MS).default(30_000),
    'longest wait after SIGTERM for requests in work'
  ),
});

const DATA = z.strictObject({
  folder: setting(filePath(), 'folder for everything that must survive'),
});

const CLIENT_CONTROL = z.strictObject({
  instances: INSTANCES,
  'timeout-ms': setting(
    integer(100, 10 * MINUTE_MS).default(5000),
    'longest wait for one answer'
  ),
});

const NODE_CLUSTER = z.strictObject({
  port: setting(fixedPort(), 'port for the other nodes, the same on all'),
  seeds: setting(
    ipAddressList(),
    'nodes to ask first for the others; HOST or HOST:PORT, separated by commas'
  ),
  'first-start': setting(
    oneOf('true', 'false').default('false'),
    'whether the whole deployment starts for the first time, with empty disks'
  ),
  'losses-borne': setting(
    integer(0, 100).default(1),
    'nodes with a disk whose loss at once is borne'
  ),
  'data-folder': setting(
    textSchema('a path, or nothing', text => text).default(''),
    'folder for what must survive; empty on a node without a disk'
  ),
});

const LISTEN = z.strictObject({
  callers: setting(hostPort(), 'HOST:PORT for callers'),
  ready: setting(hostPort(), 'HOST:PORT that tells whether to send callers'),
  control: setting(hostPort(), 'HOST:PORT for targets and operators'),
  metrics: setting(
    hostPort().optional(),
    'HOST:PORT that serves counters as text under /metrics'
  ),
});

const BOUNDS = z.strictObject({
  'heartbeat-ms': setting(
    integer(100, MINUTE_MS),
    'period at which targets announce themselves'
  ),
  'retry-ratio': setting(
    decimal(0, 1),
    'repeats for each request, over all nodes'
  ),
  'retry-slack': setting(
    integer(0, 1_000_000),
    'repeats in a window that are allowed besides'
  ),
  'retry-window-s': setting(
    decimal(0.1, 600),
    'span in which repeats are counted, seconds'
  ),
  'cold-multiplier': setting(
    decimal(0, 100),
    'times the rate that a cold target is said to bear'
  ),
  'cold-slack': setting(
    integer(0, 1_000_000),
    'requests a second to a cold target beyond that'
  ),
  'grace-s': setting(
    decimal(0.5, 3600),
    'time from SIGTERM until the process is killed, seconds'
  ),
  'apply-ms': setting(
    integer(1000, MINUTE_MS).default(2000),
    'time from the commit of a document until no node may refuse by an older one'
  ),
  'admission-floor': setting(
    decimal(0, 1).default(0.4),
    'part of its requests that each urgency keeps when not all can be served'
  ),
  'held-response-kb': setting(
    integer(1, 1_048_576).default(1_024),
    'largest response that is held until it is whole, KiB; one beyond that is relayed as it arrives and not repeated'
  ),
  'held-total-kb': setting(
    integer(1, 1_048_576).default(32_768),
    'the same for all responses of the process together, KiB'
  ),
});

const MACHINE = z.strictObject({
  'memory-mb': setting(
    integerOrNothing(64, 16 * MIB).default(0),
    'memory of this process, MiB, of which requests may hold an eighth; what the kernel reports, without a value'
  ),
  descriptors: setting(
    integerOrNothing(256, 10 * MIB).default(0),
    'descriptors of this process, which bound its connections; what the kernel allows, without a value'
  ),
  'requests-per-connection': setting(
    integer(1, 1_000).default(16),
    'requests in progress on one connection; no more of it is read meanwhile'
  ),
});

/** Settings schemas by role. */
export const SECTIONS = {
  entry: z.strictObject({
    process: PROCESS,
    machine: MACHINE,
    internal: INTERNAL,
    control: ENTRY_CONTROL,
    callers: CALLERS,
    'customer-keys': CUSTOMER_KEYS,
  }),
  agent: z.strictObject({
    process: PROCESS,
    machine: MACHINE,
    internal: INTERNAL,
    control: CONTROL,
    target: TARGET,
  }),
  control: z.strictObject({
    process: PROCESS,
    machine: MACHINE,
    internal: INTERNAL_FIXED_PORT,
    control: z.strictObject({instances: INSTANCES}),
    data: DATA,
  }),
  node: z.strictObject({
    process: PROCESS,
    machine: MACHINE,
    cluster: NODE_CLUSTER,
    listen: LISTEN,
    bounds: BOUNDS,
  }),
  client: z.strictObject({
    internal: z.strictObject(SECRET_KEYS),
    control: CLIENT_CONTROL,
  }),
} as const;

/** A kind of process, or the client, with its own settings file. */
export type SettingsRole = keyof typeof SECTIONS;

/** Validated values of a role, with keys as in the file. */
export type SettingsValues<R extends SettingsRole> = z.infer<
  (typeof SECTIONS)[R]
>;
