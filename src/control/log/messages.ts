/** Messages between control instances; parsed once where they come in. */

import * as z from 'zod';
import type {Command} from '../state/command';

const INDEX = z.number().int().nonnegative();
const ID = z.string().min(1);

const COMMAND_SHAPE = z.looseObject({kind: ID});

/**
 * A command was validated where it was proposed, and every copy must stay
 * equal to the leader's, so no more than its shape is looked at here: a list
 * of kinds would stop replication as soon as it lacked a new one.
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

/** Sender, and the incarnation that alone may act on the message. */
const ADDRESS = {
  from: ID,
  fromIncarnation: ID,
  toIncarnation: ID,
  group: ID,
  term: INDEX,
};

const VOTE_FIELDS = {...ADDRESS, lastIndex: INDEX, lastTerm: INDEX};

const LEADER_FIELDS = {
  ...ADDRESS,
  /** Number of the request, echoed. */
  seq: INDEX,
  /** Read round, echoed. */
  round: INDEX,
  /** Sender's clock in milliseconds, echoed. */
  sentAt: z.number(),
};

/** Requests between instances. */
export const PEER_REQUEST = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('hello'),
    from: ID,
    fromIncarnation: ID,
    /** Round of questions, echoed. */
    round: z.number().int(),
  }),
  z.strictObject({kind: z.literal('preVote'), ...VOTE_FIELDS}),
  z.strictObject({kind: z.literal('vote'), ...VOTE_FIELDS}),
  /** The leader goes; whoever is ready may stand at once. */
  z.strictObject({kind: z.literal('resign'), ...ADDRESS}),
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
    /** Where `chunk` begins in the data, in UTF-16 units. */
    offset: INDEX,
    chunk: z.string(),
    /** Whether the data ends with this chunk. */
    done: z.boolean(),
  }),
  z.strictObject({kind: z.literal('readIndex'), from: ID}),
]);

/**
 * Whose request is answered. The answerer's own term may have risen since: an
 * answer to an earlier leadership of the asker, or to what was wiped there,
 * would else pass for one to the present.
 */
const ASKED = {asker: ID, askedTerm: INDEX};

/** Answers between instances. */
export const PEER_REPLY = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('hello'),
    incarnation: ID,
    round: z.number().int(),
    /** Whether nothing was ever held here, as far as the disk tells. */
    empty: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal('vote'),
    incarnation: ID,
    ...ASKED,
    preVote: z.boolean(),
    term: INDEX,
    granted: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal('progress'),
    incarnation: ID,
    ...ASKED,
    term: INDEX,
    ok: z.boolean(),
    /** When ok: synced here and equal to the leader's up to this index. */
    matchIndex: INDEX,
    /** When not ok: where the leader should try next. */
    hint: INDEX,
    /** Of an unfinished snapshot: how much of its data is here. */
    received: INDEX,
    seq: INDEX,
    round: INDEX,
    sentAt: z.number(),
  }),
  /** The addressed incarnation or group does not live here. */
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
/** An answer between instances. */
export type PeerReply = z.infer<typeof PEER_REPLY>;
/** Requests that the pure core handles; the read index is the driver's. */
export type CoreRequest = Exclude<PeerRequest, {kind: 'readIndex'}>;
/** Answers that the pure core handles. */
export type CoreReply = Exclude<
  PeerReply,
  {kind: 'readIndex'} | {kind: 'notLeader'}
>;
/** One kind of request. */
export type RequestOf<K extends PeerRequest['kind']> = Extract<
  PeerRequest,
  {kind: K}
>;
/** One kind of answer. */
export type ReplyOf<K extends PeerReply['kind']> = Extract<
  PeerReply,
  {kind: K}
>;
