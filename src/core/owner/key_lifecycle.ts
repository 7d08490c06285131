/** Claims a key for a single run, and records the states of that run. */
import {createRefusal, Refusal} from '../refusals.js';
import {Attempt, KeyVerdict} from '../../model/peer.js';
import {Answer, Emit} from '../types.js';
import {
  getUnconfirmedFormerHolders,
  mayPredateThisProcess,
} from './key_history.js';
import {getRecordId, isSettled, KeyRecord, setRecord} from './key_records.js';
import {getOwnService, Owner, OwnerView} from './owner_state.js';

/** Time after its deadline for which the record of a private key is kept. */
export const PRIVATE_KEY_GRACE_MS = 30_000;

const RUNNING_RETRY_AFTER_MS = 500;

/** Maximum number of attempts that wait for the answer of a running one. */
const MAX_WAITERS = 64;

/** What to do with an attempt under a key. */
export type KeyDecision =
  | {readonly kind: 'admit'}
  /** Former key holders or the running attempt will determine the result. */
  | {readonly kind: 'wait'}
  | {readonly kind: 'finish'; readonly result: Answer | Refusal};

const ADMIT: KeyDecision = {kind: 'admit'};
const WAIT: KeyDecision = {kind: 'wait'};

function finish(result: Answer | Refusal): KeyDecision {
  return {kind: 'finish', result};
}

/**
 * Claims a key for an attempt, if the attempt may run under it.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param attempt - An attempt with a key.
 * @param deadlineAt - Its deadline on this proxy's clock.
 * @param emit - Receives the effects.
 * @returns The decision. For `wait`, the attempt has been recorded and is
 *     finished or admitted later.
 */
export function claimKey(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  deadlineAt: number,
  emit: Emit,
): KeyDecision {
  const {service, key = ''} = attempt;
  const recordId = getRecordId(service, key);
  const record = owner.keys.get(recordId);
  // An unsettled record never expires, because its run may still go on.
  const isLive =
    record !== undefined && (record.expiresAt > view.at || !isSettled(record));
  if (isLive && record.kind !== 'open') {
    return decideFromRecord(owner, recordId, record, attempt);
  }
  const isFull = owner.keys.size >= view.settings.limits.maxKeyRecords;
  if (record === undefined && isFull) {
    const refusal = createRefusal('key_table_full', RUNNING_RETRY_AFTER_MS);
    return finish(
      attempt.privateKey ? {...refusal, outcome: 'not-run'} : refusal,
    );
  }
  const expiresAt = getExpiry(view, attempt, deadlineAt);
  if (attempt.privateKey || isLive) {
    setRecord(owner.keys, recordId, createQueuedRecord(attempt, expiresAt));
    return ADMIT;
  }
  if (mayPredateThisProcess(view, service, key)) {
    setRecord(owner.keys, recordId, {kind: 'in-doubt', expiresAt});
    return finish(createRefusal('key_in_doubt'));
  }
  const holders = getUnconfirmedFormerHolders(owner, view, service, key);
  if (holders.size === 0) {
    setRecord(owner.keys, recordId, createQueuedRecord(attempt, expiresAt));
    return ADMIT;
  }
  askFormerHolders(owner, view, attempt, deadlineAt, holders, emit);
  return WAIT;
}

function createQueuedRecord(attempt: Attempt, expiresAt: number): KeyRecord {
  const {attemptId, fingerprint} = attempt;
  return {kind: 'queued', attemptId, fingerprint, expiresAt};
}

/** Decides about an attempt whose key has a record. */
function decideFromRecord(
  owner: Owner,
  recordId: string,
  record: Exclude<KeyRecord, {kind: 'open'}>,
  attempt: Attempt,
): KeyDecision {
  if ('fingerprint' in record && record.fingerprint !== attempt.fingerprint) {
    return finish(createRefusal('key_reused'));
  }
  switch (record.kind) {
    case 'finished':
      return finish(record.answer);
    case 'closed':
      return finish(
        createRefusal(record.cause === 'moved' ? 'key_in_doubt' : 'key_closed'),
      );
    case 'in-doubt':
      return finish(createRefusal('key_in_doubt'));
    case 'asking':
    case 'queued':
      return finish(createRefusal('key_running', RUNNING_RETRY_AFTER_MS));
    case 'running':
      if (record.waiters.length >= MAX_WAITERS) {
        return finish(createRefusal('key_running', RUNNING_RETRY_AFTER_MS));
      }
      record.waiters.push(attempt.attemptId);
      owner.waiterRecordIds.set(attempt.attemptId, recordId);
      return WAIT;
  }
}

function getExpiry(
  view: OwnerView,
  attempt: Attempt,
  deadlineAt: number,
): number {
  if (attempt.privateKey) {
    return deadlineAt + PRIVATE_KEY_GRACE_MS;
  }
  const lifetimeMs = getOwnService(view)?.keyLifetimeMs ?? 0;
  return Math.max(view.at + lifetimeMs, deadlineAt + PRIVATE_KEY_GRACE_MS);
}

function askFormerHolders(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  deadlineAt: number,
  holders: ReadonlyMap<string, string>,
  emit: Emit,
): void {
  const {service, key = '', attemptId, fingerprint} = attempt;
  const addresses = new Set(holders.values());
  const expiresAt = getExpiry(view, attempt, deadlineAt);
  setRecord(owner.keys, getRecordId(service, key), {
    kind: 'asking',
    attemptId,
    fingerprint,
    pendingHolders: addresses,
    expiresAt,
  });
  owner.asking.set(attemptId, {attempt, deadlineAt, cancelled: false});
  const version = view.log.active.version;
  for (const address of addresses) {
    emit({kind: 'count', counter: 'key_asked', reason: 'former_home'});
    emit({
      kind: 'askPeer',
      address,
      request: {
        kind: 'closeKey',
        service,
        key,
        attemptId,
        cause: 'moved',
        version,
      },
    });
  }
}

/**
 * Applies a former holder's verdict on a key.
 * @param owner - The owner's state.
 * @param address - The former holder's peer address.
 * @param attemptId - The suspended attempt.
 * @param verdict - The verdict, or undefined if there was no reply.
 * @returns The attempt and the decision about it; undefined while replies are
 *     missing, or if the attempt was cancelled and its key is free again.
 */
export function applyFormerHolderVerdict(
  owner: Owner,
  address: string,
  attemptId: string,
  verdict: KeyVerdict | undefined,
): {attempt: Attempt; deadlineAt: number; decision: KeyDecision} | undefined {
  const suspended = owner.asking.get(attemptId);
  if (suspended === undefined) {
    return undefined;
  }
  const {attempt} = suspended;
  const recordId = getRecordId(attempt.service, attempt.key ?? '');
  const record = owner.keys.get(recordId);
  if (record?.kind !== 'asking' || record.attemptId !== attemptId) {
    return undefined;
  }
  const {expiresAt} = record;
  if (verdict?.status === 'never-ran') {
    record.pendingHolders.delete(address);
    if (record.pendingHolders.size > 0) {
      return undefined;
    }
    owner.asking.delete(attemptId);
    if (suspended.cancelled) {
      setRecord(owner.keys, recordId, {kind: 'open', expiresAt});
      return undefined;
    }
    setRecord(owner.keys, recordId, createQueuedRecord(attempt, expiresAt));
    return {...suspended, decision: ADMIT};
  }
  owner.asking.delete(attemptId);
  if (verdict?.status === 'closed') {
    const closed = {kind: 'closed', cause: 'refused', expiresAt} as const;
    setRecord(owner.keys, recordId, closed);
    return {...suspended, decision: finish(createRefusal('key_closed'))};
  }
  setRecord(owner.keys, recordId, {kind: 'in-doubt', expiresAt});
  return {...suspended, decision: finish(createRefusal('key_in_doubt'))};
}

/**
 * Marks a key as running. This must happen in the same event as the dispatch.
 * @param owner - The owner's state.
 * @param attempt - The attempt, already removed from the queue.
 */
export function markKeyRunning(owner: Owner, attempt: Attempt): void {
  replaceRecord(owner, attempt, ({expiresAt}) => ({
    kind: 'running',
    attemptId: attempt.attemptId,
    fingerprint: attempt.fingerprint,
    waiters: [],
    expiresAt,
  }));
}

/**
 * Records the end of a run under a key. The record's lifetime starts now,
 * because the caller learns the result only now.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param attempt - The attempt that ran.
 * @param result - Its answer, `in-doubt` if it may have run, or `never-ran` if
 *     it was not sent to the upstream.
 * @returns The other attempts that wait for the same result.
 */
export function markKeyEnded(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  result: Answer | 'in-doubt' | 'never-ran',
): readonly string[] {
  const expiresAt = getExpiry(view, attempt, view.at);
  const record = replaceRecord(owner, attempt, () => {
    if (result === 'never-ran') {
      return {kind: 'closed', cause: 'refused', expiresAt};
    }
    // A private key is never sent again, so its answer need not be kept.
    return result === 'in-doubt' || attempt.privateKey
      ? {kind: 'in-doubt', expiresAt}
      : {
          kind: 'finished',
          fingerprint: attempt.fingerprint,
          answer: result,
          expiresAt,
        };
  });
  const waiters = record?.kind === 'running' ? record.waiters : [];
  for (const attemptId of waiters) {
    owner.waiterRecordIds.delete(attemptId);
  }
  return waiters;
}

/**
 * Releases the key of an attempt that was cancelled before its dispatch. No
 * result was reported, so the caller may send the key again.
 * @param owner - The owner's state.
 * @param attempt - The attempt, already removed from the queue.
 */
export function releaseKey(owner: Owner, attempt: Attempt): void {
  // Former key holders that reported `never-ran` closed the key and would reply
  // `in-doubt` if asked again, so the record stays open instead.
  replaceRecord(owner, attempt, ({expiresAt}) => ({kind: 'open', expiresAt}));
}

/**
 * Cancels an attempt that waits for former key holders or a running attempt.
 * @param owner - The owner's state.
 * @param attemptId - The attempt.
 */
export function cancelWaitingAttempt(owner: Owner, attemptId: string): void {
  const asking = owner.asking.get(attemptId);
  if (asking !== undefined) {
    asking.cancelled = true;
    return;
  }
  const record = owner.keys.get(owner.waiterRecordIds.get(attemptId) ?? '');
  owner.waiterRecordIds.delete(attemptId);
  if (record?.kind === 'running') {
    const index = record.waiters.indexOf(attemptId);
    record.waiters.splice(index, index < 0 ? 0 : 1);
  }
}

/** Replaces the record if this attempt created it; returns the old record. */
function replaceRecord(
  owner: Owner,
  attempt: Attempt,
  create: (record: KeyRecord) => KeyRecord,
): KeyRecord | undefined {
  if (attempt.key === undefined) {
    return undefined;
  }
  const recordId = getRecordId(attempt.service, attempt.key);
  const record = owner.keys.get(recordId);
  const isOwnRecord =
    record !== undefined &&
    'attemptId' in record &&
    record.attemptId === attempt.attemptId;
  if (!isOwnRecord) {
    return undefined;
  }
  owner.keys.set(recordId, create(record));
  return record;
}
