/**
 * The idempotency keys of a key holder. A key is claimed only if it has no live
 * record or an `open` one, so it runs at most once at this holder.
 */
import {KeyVerdict} from '../../model/peer.js';
import {Answer} from '../types.js';

export type KeyRecord =
  /** Former key holders have been asked to close the key. */
  | {
      readonly kind: 'asking';
      readonly attemptId: string;
      readonly fingerprint: string;
      /** Peer addresses of the former key holders that have not replied. */
      readonly pendingHolders: Set<string>;
      readonly expiresAt: number;
    }
  /** Never ran, which former key holders have confirmed, so it may run. */
  | {readonly kind: 'open'; readonly expiresAt: number}
  /** Admitted and not dispatched yet. */
  | {
      readonly kind: 'queued';
      readonly attemptId: string;
      readonly fingerprint: string;
      readonly expiresAt: number;
    }
  | {
      readonly kind: 'running';
      readonly attemptId: string;
      readonly fingerprint: string;
      /** Later attempts under the same key, which receive the same answer. */
      readonly waiters: string[];
      readonly expiresAt: number;
    }
  | {
      readonly kind: 'finished';
      readonly fingerprint: string;
      readonly answer: Answer;
      readonly expiresAt: number;
    }
  /** Never ran here and never will. `moved`: a newer key holder may run it. */
  | {
      readonly kind: 'closed';
      readonly cause: 'refused' | 'moved';
      readonly expiresAt: number;
    }
  /** It may have run. */
  | {readonly kind: 'in-doubt'; readonly expiresAt: number};

/** Records by record identifier; see {@link getRecordId}. */
export type KeyRecords = Map<string, KeyRecord>;

/** Number of records checked for expiry on each tick. */
const EXPIRY_BATCH_SIZE = 200;

/**
 * Stores a record at the end, where it is checked for expiry last.
 * @param records - The records.
 * @param recordId - The record's identifier.
 * @param record - The record.
 */
export function setRecord(
  records: KeyRecords,
  recordId: string,
  record: KeyRecord,
): void {
  records.delete(recordId);
  records.set(recordId, record);
}

export function getRecordId(service: string, key: string): string {
  return `${service} ${key}`;
}

/**
 * Deletes expired records. Each call checks a bounded number of records from
 * the front and moves those that stay to the end, because private keys expire
 * long before the shared keys that may precede them.
 * @param records - The records.
 * @param at - Now, in Unix milliseconds.
 */
export function expireRecords(records: KeyRecords, at: number): void {
  const count = Math.min(EXPIRY_BATCH_SIZE, records.size);
  const oldest = records.entries();
  for (let seen = 0; seen < count; seen += 1) {
    const [id, record] = oldest.next().value as [string, KeyRecord];
    records.delete(id);
    if (record.expiresAt > at || !isSettled(record)) {
      records.set(id, record);
    }
  }
}

/**
 * Reports whether no attempt waits or runs under a key.
 * @param record - The record.
 * @returns True if the record may be deleted once it expires.
 */
export function isSettled(record: KeyRecord): boolean {
  switch (record.kind) {
    case 'open':
    case 'finished':
    case 'closed':
    case 'in-doubt':
      return true;
    case 'asking':
    case 'queued':
    case 'running':
      return false;
  }
}

/**
 * Gets the verdict that another proxy may rely on from a record.
 * @param key - The key.
 * @param record - The key's record.
 * @returns The verdict.
 */
export function getVerdict(key: string, record: KeyRecord): KeyVerdict {
  switch (record.kind) {
    case 'running':
      return {key, status: 'running'};
    case 'finished':
      return {key, status: 'finished'};
    case 'closed':
      return {
        key,
        status: record.cause === 'refused' ? 'closed' : 'in-doubt',
      };
    case 'open':
      return {key, status: 'never-ran'};
    case 'asking':
    case 'queued':
    case 'in-doubt':
      return {key, status: 'in-doubt'};
  }
}
