/**
 * The owner role: alone decides what the upstream beside it runs, and never
 * runs a key twice.
 */
import {createRefusal, Refusal, weakenToUnknown} from '../refusals.js';
import {getHome} from '../entry/balancer.js';
import {Attempt, KeyVerdict, PeerReply, PeerRequest} from '../../model/peer.js';
import {Answer, Emit, FailureKind} from '../types.js';
import {
  AdmittedAttempt,
  endRunning,
  EnqueueResult,
  removeExpired,
  removeQueued,
  tryEnqueue,
  tryStartNext,
} from './admission.js';
import {
  clearSuspect,
  isQuarantined,
  isSuspect,
  noteCrash,
} from './crash_suspects.js';
import {closeKey, createHandOvers, takeHandOver} from './key_closing.js';
import {
  cancelWaiting,
  KeyDecision,
  markKeyEnded,
  markKeyRunning,
  openKey,
  reopenKey,
  settleFormerHome,
} from './key_protocol.js';
import {expireRecords} from './key_records.js';
import {
  getLoadReport,
  getOwnService,
  isOwnerLeaving,
  Owner,
  OwnerView,
} from './owner_state.js';

const LEAVING_RETRY_AFTER_MS = 100;
/**
 * Pause after a crash. Connections to the dead process may still look open,
 * and what is sent over them would count as cut by another crash.
 */
const CRASH_HOLD_MS = 100;

const DOWN_RETRY_AFTER_MS = 500;

/** HTTP status by which an upstream sheds load. */
const SHED_STATUS = 503;

function hasSharedKey(attempt: Attempt): boolean {
  return attempt.key !== undefined && !attempt.privateKey;
}

/**
 * Admits, queues or refuses an attempt.
 * @param owner - This part's state.
 * @param view - Read-only views of the other parts.
 * @param attempt - The attempt.
 * @param emit - Takes effects.
 */
export function acceptAttempt(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  emit: Emit,
): void {
  const refusal = findRefusal(owner, view, attempt);
  if (refusal !== undefined) {
    // The key has not been looked up, so nothing is known of other tries.
    const final = hasSharedKey(attempt) ? weakenToUnknown(refusal) : refusal;
    finishAttempt(owner, view, attempt.attemptId, final, emit);
    return;
  }
  const deadlineAt = view.at + attempt.timeoutMs;
  const decision: KeyDecision =
    attempt.key === undefined
      ? {kind: 'admit'}
      : openKey(owner, view, attempt, deadlineAt, emit);
  applyDecision(owner, view, attempt, deadlineAt, decision, emit);
}

function findRefusal(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
): Refusal | undefined {
  const {log, settings, at} = view;
  if (!view.ready) {
    return createRefusal('proxy_not_ready', DOWN_RETRY_AFTER_MS);
  }
  const service = getOwnService(view);
  const isOwn =
    attempt.upstreamId === settings.id && attempt.service === service?.name;
  if (!isOwn || service === undefined) {
    return createRefusal('wrong_home', LEAVING_RETRY_AFTER_MS);
  }
  if (hasSharedKey(attempt)) {
    if (owner.handOver !== undefined) {
      // The heirs have been told all; this home may no longer decide.
      return createRefusal('upstream_leaving', LEAVING_RETRY_AFTER_MS);
    }
    const home = getHome(log.table, service, attempt.key ?? '');
    const behind = log.active.version < attempt.version;
    // The home that a newer version names will be asked next.
    const isRemoved = view.membership.removed.has(settings.id);
    if (behind || isRemoved || home?.id !== settings.id) {
      return createRefusal('wrong_home', LEAVING_RETRY_AFTER_MS);
    }
  }
  if (isQuarantined(view.suspects, attempt.fingerprint, at)) {
    return createRefusal('quarantined');
  }
  return undefined;
}

function applyDecision(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  deadlineAt: number,
  decision: KeyDecision,
  emit: Emit,
): void {
  switch (decision.kind) {
    case 'wait':
      return;
    case 'finish':
      finishAttempt(owner, view, attempt.attemptId, decision.result, emit);
      return;
    case 'admit':
      admitAttempt(owner, view, attempt, deadlineAt, emit);
      return;
  }
}

function admitAttempt(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  deadlineAt: number,
  emit: Emit,
): void {
  const {refusal, displaced} = tryAdmit(owner, view, attempt, deadlineAt);
  if (refusal !== undefined) {
    refuseUnrun(owner, view, attempt, refusal, emit);
    return;
  }
  if (displaced !== undefined) {
    const full = createRefusal('queue_full', LEAVING_RETRY_AFTER_MS);
    refuseUnrun(owner, view, displaced.attempt, full, emit);
  }
  startQueued(owner, view, emit);
}

function tryAdmit(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  deadlineAt: number,
): EnqueueResult {
  if (isOwnerLeaving(owner, view)) {
    const refusal = createRefusal('upstream_leaving', LEAVING_RETRY_AFTER_MS);
    return {refusal};
  }
  const service = getOwnService(view);
  if (service === undefined) {
    return {refusal: createRefusal('wrong_home', LEAVING_RETRY_AFTER_MS)};
  }
  if (view.at < owner.holdUntil) {
    return {refusal: createRefusal('upstream_down', DOWN_RETRY_AFTER_MS)};
  }
  const suspect =
    attempt.suspect || isSuspect(view.suspects, attempt.fingerprint);
  const admitted = {attempt, deadlineAt, arrivedAt: view.at, suspect};
  const {policy} = view.settings;
  return tryEnqueue(owner.admission, service, policy, admitted, view.at);
}

/** Refuses an attempt that did not run, and closes its key first. */
function refuseUnrun(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  refusal: Refusal,
  emit: Emit,
): void {
  const waiters = markKeyEnded(owner, view, attempt, 'never-ran');
  if (attempt.key !== undefined) {
    emit({kind: 'count', counter: 'key_closed', reason: refusal.reason});
  }
  for (const attemptId of [attempt.attemptId, ...waiters]) {
    finishAttempt(owner, view, attemptId, refusal, emit);
  }
}

/** Dispatches queued attempts while slots are free. */
function startQueued(owner: Owner, view: OwnerView, emit: Emit): void {
  const service = getOwnService(view);
  if (service === undefined) {
    return;
  }
  refuseExpired(owner, view, emit);
  for (;;) {
    const {policy} = view.settings;
    const next = tryStartNext(owner.admission, service, policy, view.at);
    if (next === undefined) {
      return;
    }
    markKeyRunning(owner, next.attempt);
    emit({
      kind: 'dispatch',
      attemptId: next.attempt.attemptId,
      timeoutMs: next.deadlineAt - view.at,
    });
  }
}

/** A process that wakes late must not dispatch what has expired meanwhile. */
function refuseExpired(owner: Owner, view: OwnerView, emit: Emit): void {
  const {policy} = view.settings;
  for (const {attempt} of removeExpired(owner.admission, policy, view.at)) {
    const refusal = createRefusal('deadline_too_short');
    refuseUnrun(owner, view, attempt, refusal, emit);
  }
}

function finishAttempt(
  owner: Owner,
  view: OwnerView,
  attemptId: string,
  result: Answer | Refusal,
  emit: Emit,
): void {
  if (result.kind === 'refusal') {
    emit({kind: 'count', counter: 'attempt_refused', reason: result.reason});
  }
  const load = getLoadReport(owner, view);
  emit({kind: 'finishAttempt', attemptId, result, load});
}

/**
 * Takes the upstream's whole answer.
 * @param owner - This part's state.
 * @param view - Read-only views of the other parts.
 * @param attemptId - The attempt.
 * @param answer - The answer.
 * @param emit - Takes effects.
 */
export function takeUpstreamAnswer(
  owner: Owner,
  view: OwnerView,
  attemptId: string,
  answer: Answer,
  emit: Emit,
): void {
  // An upstream that sheds load has not run the request.
  const ran = answer.status !== SHED_STATUS;
  const evidence = ran ? 'answered' : 'nothing';
  const ended = endRunning(owner.admission, attemptId, evidence, view.at);
  if (ended === undefined) {
    return;
  }
  if (ran) {
    noteUpstreamUp(owner, ended, view.at);
    clearSuspect(view.suspects, ended.attempt.fingerprint, emit);
  }
  const waiters = markKeyEnded(owner, view, ended.attempt, answer);
  for (const id of [attemptId, ...waiters]) {
    finishAttempt(owner, view, id, answer, emit);
  }
  startQueued(owner, view, emit);
}

/**
 * Takes the failure of a dispatched attempt.
 * @param owner - This part's state.
 * @param view - Read-only views of the other parts.
 * @param attemptId - The attempt.
 * @param failure - How it failed.
 * @param emit - Takes effects.
 */
export function takeUpstreamFailure(
  owner: Owner,
  view: OwnerView,
  attemptId: string,
  failure: FailureKind,
  emit: Emit,
): void {
  const evidence = failure === 'timeout' ? 'cut' : 'nothing';
  const ended = endRunning(owner.admission, attemptId, evidence, view.at);
  if (ended === undefined) {
    return;
  }
  const {attempt} = ended;
  if (failure === 'connect') {
    refuseDown(owner, view, [ended], emit);
    startQueued(owner, view, emit);
    return;
  }
  if (failure === 'reset') {
    noteUpstreamCrash(owner, view, ended, emit);
  }
  const waiters = markKeyEnded(owner, view, attempt, 'in-doubt');
  const refusal = createLostRefusal(failure);
  for (const id of [attemptId, ...waiters]) {
    finishAttempt(owner, view, id, refusal, emit);
  }
  startQueued(owner, view, emit);
}

function refuseDown(
  owner: Owner,
  view: OwnerView,
  unrun: readonly AdmittedAttempt[],
  emit: Emit,
): void {
  const refusal = createRefusal('upstream_down', DOWN_RETRY_AFTER_MS);
  for (const {attempt} of unrun) {
    refuseUnrun(owner, view, attempt, refusal, emit);
  }
}

function createLostRefusal(failure: Exclude<FailureKind, 'connect'>): Refusal {
  switch (failure) {
    case 'reset':
      return createRefusal('attempt_lost');
    case 'timeout':
      return createRefusal('attempt_timeout');
    case 'truncated':
      return createRefusal('answer_truncated');
    case 'too-large':
      return createRefusal('answer_too_large');
  }
}

function noteUpstreamUp(
  owner: Owner,
  ended: AdmittedAttempt,
  at: number,
): void {
  // What was dispatched before the crash says nothing of the new process.
  if ((ended.dispatchNumber ?? 0) > owner.crashedDispatch) {
    owner.admission.upSince ??= at;
  }
}

function noteUpstreamCrash(
  owner: Owner,
  view: OwnerView,
  ended: AdmittedAttempt,
  emit: Emit,
): void {
  // All that had been dispatched when one crash was noticed belongs to it.
  if ((ended.dispatchNumber ?? 0) > owner.crashedDispatch) {
    owner.crashedDispatch = owner.admission.dispatchCount;
    owner.crashCount += 1;
    owner.admission.upSince = undefined;
    owner.holdUntil = view.at + CRASH_HOLD_MS;
    refuseDown(owner, view, owner.admission.queue.splice(0), emit);
  }
  const {id, startedAt, limits} = view.settings;
  const crash = `${id}/${startedAt}/${owner.crashCount}`;
  const expiresAt = view.at + limits.quarantineMs;
  const {fingerprint} = ended.attempt;
  const sole = ended.suspect;
  noteCrash(view.suspects, fingerprint, {crash, sole, expiresAt}, emit);
}

/**
 * Stops an attempt whose entry went away, where that is safe.
 * @param owner - This part's state.
 * @param view - Read-only views of the other parts.
 * @param attemptId - The attempt.
 * @param emit - Takes effects.
 */
export function cancelAttempt(
  owner: Owner,
  view: OwnerView,
  attemptId: string,
  emit: Emit,
): void {
  const queued = removeQueued(owner.admission, attemptId);
  if (queued !== undefined) {
    reopenKey(owner, queued.attempt);
    emit({kind: 'count', counter: 'attempt_refused', reason: 'call_cancelled'});
    startQueued(owner, view, emit);
    return;
  }
  cancelWaiting(owner, attemptId);
  const running = owner.admission.running.get(attemptId);
  // A keyed request runs on, so that a resend finds its answer.
  if (running?.attempt.idempotent === true) {
    emit({kind: 'abortDispatch', attemptId});
  }
}

/**
 * Takes in what the upstream's health endpoint said; only a hint.
 * @param owner - This part's state.
 * @param draining - The upstream said that it drains.
 * @param at - Now, in Unix milliseconds.
 * @returns True where that is news.
 */
export function takeProbe(
  owner: Owner,
  draining: boolean,
  at: number,
): boolean {
  const isNews = draining !== (owner.drainHintSince !== undefined);
  if (isNews) {
    owner.drainHintSince = draining ? at : undefined;
  }
  return isNews;
}

/**
 * Answers a peer's request about keys.
 * @param owner - This part's state.
 * @param view - Read-only views of the other parts.
 * @param request - The request.
 * @param emit - Takes effects.
 * @returns The reply.
 */
export function answerKeyRequest(
  owner: Owner,
  view: OwnerView,
  request: Extract<PeerRequest, {kind: 'closeKey' | 'handOver'}>,
  emit: Emit,
): PeerReply {
  if (request.kind === 'handOver') {
    takeHandOver(owner, view, request);
    return {kind: 'ok'};
  }
  const {verdict, stoppedAttemptId} = closeKey(owner, view, request);
  emit({kind: 'count', counter: 'key_closed', reason: verdict.status});
  if (stoppedAttemptId !== undefined) {
    removeQueued(owner.admission, stoppedAttemptId);
    // Another home that takes over may run the key, so only an entry that
    // gave up makes it certain that it will not run.
    const refusal = createRefusal(
      request.cause === 'moved' ? 'key_in_doubt' : 'key_closed',
    );
    finishAttempt(owner, view, stoppedAttemptId, refusal, emit);
  }
  return {kind: 'closeKey', verdict};
}

/**
 * Takes a former home's word on a key, or its silence.
 * @param owner - This part's state.
 * @param view - Read-only views of the other parts.
 * @param address - The former home's peer address.
 * @param attemptId - The attempt that waits.
 * @param verdict - Its word, or undefined where it did not answer.
 * @param emit - Takes effects.
 */
export function takeFormerHomeVerdict(
  owner: Owner,
  view: OwnerView,
  address: string,
  attemptId: string,
  verdict: KeyVerdict | undefined,
  emit: Emit,
): void {
  const settled = settleFormerHome(owner, address, attemptId, verdict);
  if (settled === undefined) {
    return;
  }
  const {attempt, deadlineAt, decision} = settled;
  applyDecision(owner, view, attempt, deadlineAt, decision, emit);
}

export function startDrain(owner: Owner): void {
  owner.draining = true;
}

/**
 * Does what time has made due: expiry, and the steps of a planned stop.
 * @param owner - This part's state.
 * @param view - Read-only views of the other parts.
 * @param callsUnderWay - Calls that this proxy's entry has not answered.
 * @param emit - Takes effects.
 */
export function tickOwner(
  owner: Owner,
  view: OwnerView,
  callsUnderWay: number,
  emit: Emit,
): void {
  expireRecords(owner.keys, view.at);
  startQueued(owner, view, emit);
  const {admission, draining, drained} = owner;
  const idle = admission.running.size === 0 && admission.queue.length === 0;
  if (!draining || drained || !idle || callsUnderWay > 0) {
    return;
  }
  advanceHandOver(owner, view, emit);
}

function advanceHandOver(owner: Owner, view: OwnerView, emit: Emit): void {
  if (owner.handOver === undefined) {
    const requests = createHandOvers(owner, view);
    owner.handOver = {
      silentPeers: new Set(requests.keys()),
      startedAt: view.at,
    };
    for (const [address, request] of requests) {
      emit({kind: 'askPeer', address, request});
    }
  }
  const {silentPeers, startedAt} = owner.handOver;
  const {handOverTimeoutMs} = view.settings.limits;
  if (silentPeers.size === 0 || view.at - startedAt > handOverTimeoutMs) {
    owner.drained = true;
    emit({kind: 'drained'});
  }
}

export function noteHandOverSettled(owner: Owner, address: string): void {
  owner.handOver?.silentPeers.delete(address);
}
