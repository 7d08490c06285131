/**
 * A home's record of idempotency keys. A key is dispatched only where it has
 * no record, so it runs at most once at this home.
 */
import {KeyVerdict} from '../../model/peer.js';
import {Answer} from '../types.js';

export type KeyRecord =
  /** Former homes have been asked to close the key. */
  | {
      readonly kind: 'asking';
      readonly attemptId: string;
      readonly fingerprint: string;
      readonly pendingHolders: Set<string>;
      readonly expiresAt: number;
    }
  /** Never ran, former homes have vouched for it, and it may run. */
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
      /** Later attempts under the same key, which get the same answer. */
      readonly waiters: string[];
      readonly expiresAt: number;
    }
  | {
      readonly kind: 'finished';
      readonly fingerprint: string;
      readonly answer: Answer;
      readonly expiresAt: number;
    }
  /** Never ran and never will. `moved`: another home may run it. */
  | {
      readonly kind: 'closed';
      readonly cause: 'refused' | 'moved';
      readonly expiresAt: number;
    }
  /** It may have run. */
  | {readonly kind: 'in-doubt'; readonly expiresAt: number};

/** Records by service and key. */
export type KeyRecords = Map<string, KeyRecord>;

/** Key records looked at for expiry on each tick. */
const EXPIRY_BATCH_SIZE = 200;

/**
 * Stores a record at the end, where expiry looks last.
 * @param records - The records.
 * @param recordId - Names the record.
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
 * Drops records whose lifetime has passed. Looks at a bounded number of
 * records each time and moves those that stay to the end, because private
 * keys expire long before the shared ones that may stand in front of them.
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
 * Tells whether a record can no longer change.
 * @param record - The record.
 * @returns False while an attempt waits or runs under the key.
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
 * Says of a settled or running record what another proxy may rely on.
 * @param key - The key.
 * @param record - Its record.
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
