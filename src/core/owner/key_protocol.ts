/**
 * What a home does about a key: opens it for one run, closes it for an entry
 * or a newer home, and hands all keys over on a planned stop.
 */
import {getRendezvousWinner} from '../hashing.js';
import {createRefusal, Refusal} from '../refusals.js';
import {Attempt, KeyVerdict, PeerRequest} from '../../model/peer.js';
import {Answer, Emit} from '../types.js';
import {getFormerHomes, mayPredateStart} from './key_doubt.js';
import {getRecordId, getVerdict, isSettled, KeyRecord} from './key_records.js';
import {getOwnService, Owner, OwnerView} from './owner_state.js';

/** Time after a deadline for which an attempt with a private key is kept. */
const PRIVATE_KEY_GRACE_MS = 30_000;

const RUNNING_RETRY_AFTER_MS = 500;

/** What to do with an attempt under a key. */
export type KeyDecision =
  | {readonly kind: 'admit'}
  /** Former homes or the running attempt will settle it. */
  | {readonly kind: 'wait'}
  | {readonly kind: 'finish'; readonly result: Answer | Refusal};

const ADMIT: KeyDecision = {kind: 'admit'};
const WAIT: KeyDecision = {kind: 'wait'};

function finish(result: Answer | Refusal): KeyDecision {
  return {kind: 'finish', result};
}

/**
 * Decides whether an attempt may run under its key.
 * @param owner - The owner's state.
 * @param view - Read-only views of the other parts.
 * @param attempt - An attempt with a key.
 * @param deadlineAt - Its deadline on this proxy's clock.
 * @param emit - Takes effects.
 * @returns The decision; where it is to wait, the attempt has been noted.
 */
export function openKey(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  deadlineAt: number,
  emit: Emit,
): KeyDecision {
  const {service, key = ''} = attempt;
  const recordId = getRecordId(service, key);
  const record = owner.keys.get(recordId);
  if (record !== undefined && record.expiresAt > view.at) {
    return resumeKey(record, attempt);
  }
  if (owner.keys.size >= view.settings.limits.maxKeyRecords) {
    const refusal = createRefusal('key_table_full', RUNNING_RETRY_AFTER_MS);
    return finish(
      attempt.privateKey ? {...refusal, outcome: 'not-run'} : refusal,
    );
  }
  const expiresAt = getExpiry(view, attempt, deadlineAt);
  if (attempt.privateKey) {
    setRecord(owner, recordId, queuedRecord(attempt, expiresAt));
    return ADMIT;
  }
  if (mayPredate(view, key)) {
    setRecord(owner, recordId, {kind: 'in-doubt', expiresAt});
    return finish(createRefusal('key_in_doubt'));
  }
  const homes = getUnsettledHomes(owner, view, service, key);
  if (homes.size === 0) {
    setRecord(owner, recordId, queuedRecord(attempt, expiresAt));
    return ADMIT;
  }
  askFormerHomes(owner, view, attempt, deadlineAt, homes, emit);
  return WAIT;
}

function queuedRecord(attempt: Attempt, expiresAt: number): KeyRecord {
  return {kind: 'queued', attemptId: attempt.attemptId, expiresAt};
}

/** Decides about a key that has a record. */
function resumeKey(record: KeyRecord, attempt: Attempt): KeyDecision {
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
      record.waiters.push(attempt.attemptId);
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

function mayPredate(view: OwnerView, key: string): boolean {
  const {settings, at} = view;
  return mayPredateStart(
    key,
    settings.startedAt,
    getOwnService(view)?.keyLifetimeMs ?? 0,
    settings.limits.clockSkewMs,
    at,
  );
}

/** Former homes that have not told us what they ran. */
function getUnsettledHomes(
  owner: Owner,
  view: OwnerView,
  service: string,
  key: string,
): Map<string, string> {
  const homes = getFormerHomes(
    view.log.active,
    view.settings.id,
    service,
    key,
    view.at,
    view.settings.limits.clockSkewMs,
  );
  for (const id of owner.handedOverBy) {
    homes.delete(id);
  }
  return homes;
}

function askFormerHomes(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  deadlineAt: number,
  homes: ReadonlyMap<string, string>,
  emit: Emit,
): void {
  const {service, key = '', attemptId} = attempt;
  const addresses = new Set(homes.values());
  const expiresAt = getExpiry(view, attempt, deadlineAt);
  setRecord(owner, getRecordId(service, key), {
    kind: 'asking',
    attemptId,
    silentHomes: addresses,
    expiresAt,
  });
  owner.asking.set(attemptId, {attempt, deadlineAt});
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
 * Takes a former home's word on a key, or its silence.
 * @param owner - The owner's state.
 * @param address - The former home's peer address.
 * @param attemptId - The attempt that waits.
 * @param verdict - Its word, or undefined where it did not answer.
 * @returns The attempt with the decision once it is settled.
 */
export function settleFormerHome(
  owner: Owner,
  address: string,
  attemptId: string,
  verdict: KeyVerdict | undefined,
): {attempt: Attempt; deadlineAt: number; decision: KeyDecision} | undefined {
  const waiting = owner.asking.get(attemptId);
  if (waiting === undefined) {
    return undefined;
  }
  const {attempt} = waiting;
  const recordId = getRecordId(attempt.service, attempt.key ?? '');
  const record = owner.keys.get(recordId);
  if (record?.kind !== 'asking' || record.attemptId !== attemptId) {
    return undefined;
  }
  const {expiresAt} = record;
  if (verdict?.status === 'never-ran') {
    record.silentHomes.delete(address);
    if (record.silentHomes.size > 0) {
      return undefined;
    }
    owner.asking.delete(attemptId);
    setRecord(owner, recordId, queuedRecord(attempt, expiresAt));
    return {...waiting, decision: ADMIT};
  }
  owner.asking.delete(attemptId);
  if (verdict?.status === 'closed') {
    const closed = {kind: 'closed', cause: 'refused', expiresAt} as const;
    setRecord(owner, recordId, closed);
    return {...waiting, decision: finish(createRefusal('key_closed'))};
  }
  setRecord(owner, recordId, {kind: 'in-doubt', expiresAt});
  return {...waiting, decision: finish(createRefusal('key_in_doubt'))};
}

/**
 * Marks a key as running, in the same step that dispatches it.
 * @param owner - The owner's state.
 * @param attempt - The attempt, already taken from the queue.
 */
export function markKeyRunning(owner: Owner, attempt: Attempt): void {
  replaceRecord(owner, attempt, ({expiresAt}) => ({
    kind: 'running',
    attemptId: attempt.attemptId,
    waiters: [],
    expiresAt,
  }));
}

/**
 * Notes the end of a run under a key.
 * @param owner - The owner's state.
 * @param attempt - The attempt that ran.
 * @param result - Its answer, or `in-doubt`, or `never-ran` where the upstream
 *     was never sent it.
 * @returns Other attempts that wait for the same result.
 */
export function markKeyEnded(
  owner: Owner,
  attempt: Attempt,
  result: Answer | 'in-doubt' | 'never-ran',
): readonly string[] {
  const record = replaceRecord(owner, attempt, ({expiresAt}) => {
    if (result === 'never-ran') {
      return {kind: 'closed', cause: 'refused', expiresAt};
    }
    // Nobody resends a private key, so its answer need not be kept.
    return result === 'in-doubt' || attempt.privateKey
      ? {kind: 'in-doubt', expiresAt}
      : {kind: 'finished', answer: result, expiresAt};
  });
  return record?.kind === 'running' ? record.waiters : [];
}

/**
 * Drops the record of an attempt that was cancelled before its dispatch.
 * Nobody was told anything, so the caller may send the key again.
 * @param owner - The owner's state.
 * @param attempt - The attempt, already taken from the queue.
 */
export function forgetKey(owner: Owner, attempt: Attempt): void {
  if (attempt.key === undefined) {
    return;
  }
  const recordId = getRecordId(attempt.service, attempt.key);
  if (owner.keys.get(recordId)?.kind === 'queued') {
    owner.keys.delete(recordId);
  }
}

/** Replaces the record that this attempt made; returns the one before. */
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
  if (record === undefined || isSettled(record)) {
    return undefined;
  }
  owner.keys.set(recordId, create(record));
  return record;
}

/** Stores a record at the end, so that the oldest stay first. */
function setRecord(owner: Owner, recordId: string, record: KeyRecord): void {
  owner.keys.delete(recordId);
  owner.keys.set(recordId, record);
}

/** What closing a key found, and the attempt that it took from the queue. */
export interface CloseResult {
  readonly verdict: KeyVerdict;
  readonly stoppedAttemptId?: string;
}

/**
 * Closes a key for an entry that gives up, or for a newer home.
 * @param owner - The owner's state.
 * @param view - Read-only views of the other parts.
 * @param request - The request.
 * @returns The verdict on which the asker may rely.
 */
export function closeKey(
  owner: Owner,
  view: OwnerView,
  request: Extract<PeerRequest, {kind: 'closeKey'}>,
): CloseResult {
  const {service, key, cause} = request;
  const recordId = getRecordId(service, key);
  const record = owner.keys.get(recordId);
  const closedCause = cause === 'moved' ? 'moved' : 'refused';
  const lifetimeMs =
    view.log.table.services.get(service)?.keyLifetimeMs ??
    view.log.active.config.services[service]?.keyLifetimeMs ??
    0;
  const expiresAt = view.at + Math.max(lifetimeMs, PRIVATE_KEY_GRACE_MS);
  if (record === undefined) {
    const doubtful =
      !view.ready ||
      mayPredate(view, key) ||
      getUnsettledHomes(owner, view, service, key).size > 0;
    setRecord(
      owner,
      recordId,
      doubtful
        ? {kind: 'in-doubt', expiresAt}
        : {kind: 'closed', cause: closedCause, expiresAt},
    );
    return {verdict: {key, status: doubtful ? 'in-doubt' : 'never-ran'}};
  }
  if (record.kind === 'queued') {
    setRecord(owner, recordId, {kind: 'closed', cause: closedCause, expiresAt});
    return {
      verdict: {key, status: 'never-ran'},
      stoppedAttemptId: record.attemptId,
    };
  }
  return {verdict: getVerdict(key, record)};
}

/**
 * Builds the messages by which a stopping proxy tells every other home of its
 * service all that it knows of keys. What they do not name never ran here.
 * @param owner - The owner's state.
 * @param view - Read-only views of the other parts.
 * @returns Requests by peer address.
 */
export function createHandOvers(
  owner: Owner,
  view: OwnerView,
): Map<string, PeerRequest> {
  const service = getOwnService(view);
  const requests = new Map<string, PeerRequest>();
  if (service === undefined) {
    return requests;
  }
  const fromId = view.settings.id;
  const others = service.upstreams.filter(({id}) => id !== fromId);
  const otherIds = others.map(({id}) => id);
  const prefix = getRecordId(service.name, '');
  for (const {id, peerAddress} of others) {
    const records: KeyVerdict[] = [];
    for (const [recordId, record] of owner.keys) {
      const key = recordId.slice(prefix.length);
      const isHeir =
        recordId.startsWith(prefix) &&
        getRendezvousWinner(key, otherIds) === id;
      if (isHeir) {
        records.push(getVerdict(key, record));
      }
    }
    requests.set(peerAddress, {
      kind: 'handOver',
      service: service.name,
      fromId,
      records,
    });
  }
  return requests;
}

/**
 * Takes over the keys of a proxy that stops as planned.
 * @param owner - The owner's state.
 * @param view - Read-only views of the other parts.
 * @param request - Its message.
 */
export function takeHandOver(
  owner: Owner,
  view: OwnerView,
  request: Extract<PeerRequest, {kind: 'handOver'}>,
): void {
  const lifetimeMs = getOwnService(view)?.keyLifetimeMs ?? 0;
  const expiresAt = view.at + lifetimeMs;
  for (const {key, status} of request.records) {
    const recordId = getRecordId(request.service, key);
    if (!owner.keys.has(recordId)) {
      setRecord(
        owner,
        recordId,
        status === 'closed' || status === 'never-ran'
          ? {kind: 'closed', cause: 'refused', expiresAt}
          : {kind: 'in-doubt', expiresAt},
      );
    }
  }
  owner.handedOverBy.add(request.fromId);
}
