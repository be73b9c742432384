/** `status`: shows the instances, processes and targets known to control. */

import type {InstanceStatus, ProcessStatus} from '../core/operatorMessages';
import type {Announcement} from '../core/wire';
import {connectControl} from './connectControl';
import type {ClusterStatus} from './controlClient';
import {EXIT_CODES} from './exitCodes';
import {rolloutStateOf} from './followRollout';
import {runCommand} from './runCommand';
import {formatTable} from './table';

const HELP = `
  Usage
    $ marlpulley status --settings CLIENT.ini

  Shows the revision in force, the control instances, which process holds which
  revision, and the targets that announced themselves.

  Options
    --settings  settings of the client (required)
    --json      one JSON object in place of tables
    --rules     only the rule file in force, as it was submitted

  Exit codes
    0  shown
    1  no control instance answered
    2  wrong arguments or settings
`;

function instanceRow(instance: InstanceStatus): readonly string[] {
  const {instanceId, role, term, voter, commitIndex} = instance;
  return [
    instanceId,
    role,
    String(term),
    voter ? 'yes' : 'no',
    String(commitIndex),
  ];
}

function processRow(
  process: ProcessStatus,
  revision: number
): readonly string[] {
  const {provenAgeMs} = process;
  return [
    process.processId,
    process.role,
    process.availabilityZone,
    String(process.heldRevision),
    rolloutStateOf(process, revision),
    `${Math.round(process.pollAgeMs)} ms`,
    provenAgeMs === undefined ? 'never' : `${Math.round(provenAgeMs)} ms`,
  ];
}

function targetRow(target: Announcement): readonly string[] {
  return [
    target.targetId,
    target.pool,
    target.availabilityZone,
    target.state,
    target.temperature,
    `${target.outstanding}/${target.limit}`,
    String(target.queued),
    [target.model, target.modelVersion].filter(Boolean).join(' '),
  ];
}

/** Formats the status as tables. */
export function formatStatus(status: ClusterStatus): readonly string[] {
  const {revision} = status;
  return [
    `revision ${revision}`,
    '',
    ...formatTable(
      ['instance', 'role', 'term', 'voter', 'commit index'],
      status.instances.map(instanceRow)
    ),
    ...status.silent.map(({id, reason}) => `${id} gave no answer: ${reason}`),
    '',
    ...formatTable(
      ['process', 'role', 'zone', 'holds', 'standing', 'heard', 'proven'],
      status.processes.map(process => processRow(process, revision))
    ),
    '',
    ...formatTable(
      ['target', 'pool', 'zone', 'state', 'is', 'work', 'queued', 'model'],
      status.targets.map(targetRow)
    ),
  ];
}

interface StatusFlags {
  readonly json: boolean;
  readonly rules: boolean;
}

function outputLines(
  status: ClusterStatus,
  flags: StatusFlags
): readonly string[] {
  if (flags.rules) return [status.rulesText.replace(/\n$/, '')];
  return flags.json ? [JSON.stringify(status)] : formatStatus(status);
}

/** Runs `status`. */
export function runStatus(argv: readonly string[]): Promise<number> {
  const spec = {
    help: HELP,
    flags: {
      settings: {type: 'string', isRequired: true},
      json: {type: 'boolean', default: false},
      rules: {type: 'boolean', default: false},
    },
    inputs: [],
  } as const;
  return runCommand(spec, argv, async ({flags}, print) => {
    const client = connectControl(flags.settings);
    try {
      const status = await client.status();
      for (const line of outputLines(status, flags)) print(line);
      return EXIT_CODES.ok;
    } finally {
      client.close();
    }
  });
}
