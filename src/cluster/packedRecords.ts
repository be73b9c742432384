/**
 * Target records of the leader's replies in compressed form. A new leader sends the
 * whole table to all nodes at the same time, and a group that opens or closes changes
 * the records of all its ranks; uncompressed, both would fill the leader's link.
 */

import * as z from 'zod';
import {packText, unpackText} from '../site/packText';
import type {SyncParams, SyncReply, SyncState} from './messages';
import {TARGET_RECORD} from './messages';

/** Fewer records are not worth the processor time. */
const MIN_RECORDS = 32;
/** Different replies of which the compressed form is kept. */
const MAX_CACHED = 8;
const RECORDS = z.array(TARGET_RECORD);

/** Compresses the records of replies, once for all nodes that get the same ones. */
export class RecordPacker {
  private readonly packed = new Map<string, string>();

  /** Returns the reply with its records compressed if there are many. */
  pack(reply: SyncReply, params: SyncParams): SyncReply {
    if (reply.kind !== 'state' || params.readsPacked !== true) return reply;
    const {records, term, tableRevision} = reply;
    if (records.length < MIN_RECORDS) return reply;
    const since = params.tableTerm === term ? params.tableRevision : 0;
    const key = `${term}/${since}/${tableRevision}`;
    const packedRecords =
      this.packed.get(key) ?? packText(JSON.stringify(records));
    this.keep(key, packedRecords);
    return {...reply, records: [], packedRecords};
  }

  /** Keeps the most recent ones. */
  private keep(key: string, packedRecords: string): void {
    this.packed.delete(key);
    this.packed.set(key, packedRecords);
    const [oldest] = this.packed.keys();
    if (this.packed.size > MAX_CACHED && oldest !== undefined)
      this.packed.delete(oldest);
  }
}

/** Restores the records that `RecordPacker` compressed; throws on malformed ones. */
export function unpackRecords({packedRecords, ...reply}: SyncState): SyncState {
  if (packedRecords === undefined) return reply;
  const records = RECORDS.parse(JSON.parse(unpackText(packedRecords)));
  return {...reply, records};
}
