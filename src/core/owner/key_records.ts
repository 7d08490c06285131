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
      readonly silentHomes: Set<string>;
      readonly expiresAt: number;
    }
  /** Admitted and not dispatched yet. */
  | {
      readonly kind: 'queued';
      readonly attemptId: string;
      readonly expiresAt: number;
    }
  | {
      readonly kind: 'running';
      readonly attemptId: string;
      /** Later attempts under the same key, which get the same answer. */
      readonly waiters: string[];
      readonly expiresAt: number;
    }
  | {
      readonly kind: 'finished';
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

/** Records by service and key; insertion order is close to expiry order. */
export type KeyRecords = Map<string, KeyRecord>;

/** Key records looked at for expiry on each tick. */
const EXPIRY_BATCH = 200;

export function getRecordId(service: string, key: string): string {
  return `${service} ${key}`;
}

/**
 * Drops records whose lifetime has passed, a bounded number each time.
 * @param records - The records.
 * @param at - Now, in Unix milliseconds.
 */
export function expireRecords(records: KeyRecords, at: number): void {
  let seen = 0;
  for (const [id, record] of records) {
    seen += 1;
    if (seen > EXPIRY_BATCH || record.expiresAt > at) {
      return;
    }
    if (isSettled(record)) {
      records.delete(id);
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
    case 'asking':
    case 'queued':
    case 'in-doubt':
      return {key, status: 'in-doubt'};
  }
}
