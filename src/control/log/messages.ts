/** Messages between instances of the log, validated when received. */

import * as z from 'zod';
import type {Command} from '../state/command';

const INDEX = z.number().int().nonnegative();
const ID = z.string().min(1);

const COMMAND_SHAPE = z.looseObject({kind: ID});

/**
 * Only the outer shape of a command is validated here. Its content was
 * validated when it was proposed, and a follower must store exactly what the
 * leader has. A list of known kinds would stop replication at the first unknown
 * kind.
 */
const COMMAND = z.custom<Command>(
  value => COMMAND_SHAPE.safeParse(value).success
);

const CONFIGURATION = z.strictObject({
  voters: z.array(z.strictObject({id: ID, incarnation: ID})),
});

const ENTRY = z.strictObject({
  index: INDEX,
  term: INDEX,
  body: z.discriminatedUnion('kind', [
    z.strictObject({kind: z.literal('command'), command: COMMAND}),
    z.strictObject({
      kind: z.literal('configuration'),
      configuration: CONFIGURATION,
    }),
  ]),
});

/** Sender, recipient, group and term. Other incarnations reject the message. */
const REQUEST_HEADER = {
  from: ID,
  fromIncarnation: ID,
  toIncarnation: ID,
  group: ID,
  term: INDEX,
};

const VOTE_FIELDS = {...REQUEST_HEADER, lastIndex: INDEX, lastTerm: INDEX};

const LEADER_FIELDS = {
  ...REQUEST_HEADER,
  /** Sequence number of the request, echoed in the reply. */
  seq: INDEX,
  /** Number of the latest read round, echoed in the reply. */
  round: INDEX,
  /** Sender's clock in milliseconds, echoed in the reply. */
  sentAt: z.number(),
};

/** Schema of requests between instances. */
export const PEER_REQUEST = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('hello'),
    from: ID,
    fromIncarnation: ID,
    /** Number of the founding round, echoed in the reply. */
    round: z.number().int(),
  }),
  z.strictObject({kind: z.literal('preVote'), ...VOTE_FIELDS}),
  z.strictObject({kind: z.literal('vote'), ...VOTE_FIELDS}),
  /** The leader steps down; peers may start an election early. */
  z.strictObject({kind: z.literal('resign'), ...REQUEST_HEADER}),
  z.strictObject({
    kind: z.literal('append'),
    ...LEADER_FIELDS,
    prevIndex: INDEX,
    prevTerm: INDEX,
    entries: z.array(ENTRY),
    commitIndex: INDEX,
  }),
  z.strictObject({
    kind: z.literal('snapshot'),
    ...LEADER_FIELDS,
    snapshot: z.strictObject({
      index: INDEX,
      term: INDEX,
      configuration: CONFIGURATION,
    }),
    /** Offset of `chunk` in the data, in UTF-16 code units. */
    offset: INDEX,
    chunk: z.string(),
    /** Whether this is the last chunk. */
    done: z.boolean(),
  }),
  z.strictObject({kind: z.literal('readIndex'), from: ID}),
]);

/**
 * Incarnation and term of the request that is answered. The reply's own term
 * may be higher, so without these fields a reply to an earlier leadership or an
 * earlier incarnation of the sender could be taken for a current one.
 */
const REQUEST_ECHO = {asker: ID, askedTerm: INDEX};

/** Schema of replies between instances. */
export const PEER_REPLY = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('hello'),
    incarnation: ID,
    round: z.number().int(),
    /** Whether the instance never held any entry, as far as its disk shows. */
    empty: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal('vote'),
    incarnation: ID,
    ...REQUEST_ECHO,
    preVote: z.boolean(),
    term: INDEX,
    granted: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal('progress'),
    incarnation: ID,
    ...REQUEST_ECHO,
    term: INDEX,
    ok: z.boolean(),
    /** If ok: the log is synced and equal to the leader's up to this index. */
    matchIndex: INDEX,
    /** If not ok: index from which the leader should retry. */
    hint: INDEX,
    /** During a snapshot transfer: characters received so far. */
    received: INDEX,
    seq: INDEX,
    round: INDEX,
    sentAt: z.number(),
  }),
  /** The request was addressed to another incarnation or another group. */
  z.strictObject({
    kind: z.literal('stranger'),
    incarnation: ID,
    addressed: ID,
    group: ID.optional(),
  }),
  z.strictObject({kind: z.literal('resign'), incarnation: ID}),
  z.strictObject({kind: z.literal('readIndex'), index: INDEX}),
  z.strictObject({
    kind: z.literal('notLeader'),
    leaderId: z.string().optional(),
  }),
]);

/** A request between instances. */
export type PeerRequest = z.infer<typeof PEER_REQUEST>;
/** A reply between instances. */
export type PeerReply = z.infer<typeof PEER_REPLY>;
/** Requests that the Raft core handles; the driver handles `readIndex`. */
export type CoreRequest = Exclude<PeerRequest, {kind: 'readIndex'}>;
/** Replies that the Raft core handles. */
export type CoreReply = Exclude<
  PeerReply,
  {kind: 'readIndex'} | {kind: 'notLeader'}
>;
/** A request of one kind. */
export type RequestOf<K extends PeerRequest['kind']> = Extract<
  PeerRequest,
  {kind: K}
>;
/** A reply of one kind. */
export type ReplyOf<K extends PeerReply['kind']> = Extract<
  PeerReply,
  {kind: K}
>;
