/**
 * The owner role. The owner alone decides what its upstream runs, and it never
 * runs a key twice.
 */
import {Attempt, KeyVerdict, PeerReply, PeerRequest} from '../../model/peer.js';
import {getKeyHolder} from '../entry/balancer.js';
import {Refusal, createRefusal, weakenToUnknown} from '../refusals.js';
import {Emit} from '../types.js';
import {EnqueueResult, removeQueued, tryEnqueue} from './admission.js';
import {isQuarantined, isSuspect} from './crash_suspects.js';
import {
  DOWN_RETRY_AFTER_MS,
  LEAVING_RETRY_AFTER_MS,
  dispatchQueued,
  finishAttempt,
  refuseNotRun,
} from './dispatching.js';
import {acceptHandOver, closeKey} from './key_closing.js';
import {
  KeyDecision,
  applyFormerHolderVerdict,
  cancelWaitingAttempt,
  claimKey,
  releaseKey,
} from './key_lifecycle.js';
import {
  Owner,
  OwnerView,
  getOwnService,
  isOwnerLeaving,
} from './owner_state.js';

function hasSharedKey(attempt: Attempt): boolean {
  return attempt.key !== undefined && !attempt.privateKey;
}

/**
 * Admits, queues or refuses an attempt.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param attempt - The attempt.
 * @param emit - Receives the effects.
 */
export function acceptAttempt(
  owner: Owner,
  view: OwnerView,
  attempt: Attempt,
  emit: Emit,
): void {
  const refusal = findRefusal(owner, view, attempt);
  if (refusal !== undefined) {
    // The key has not been looked up, so other attempts under it may have run.
    const final = hasSharedKey(attempt) ? weakenToUnknown(refusal) : refusal;
    finishAttempt(owner, view, attempt.attemptId, final, emit);
    return;
  }
  const deadlineAt = view.at + attempt.timeoutMs;
  const decision: KeyDecision =
    attempt.key === undefined
      ? {kind: 'admit'}
      : claimKey(owner, view, attempt, deadlineAt, emit);
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
      // The heirs hold all records now; this proxy may no longer decide.
      return createRefusal('upstream_leaving', LEAVING_RETRY_AFTER_MS);
    }
    const holder = getKeyHolder(log.table, service, attempt.key ?? '');
    const isBehind = log.active.version < attempt.version;
    // The entry will next ask the holder that a newer version assigns.
    const isRemoved = view.membership.removed.has(settings.id);
    if (isBehind || isRemoved || holder?.id !== settings.id) {
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
    refuseNotRun(owner, view, attempt, refusal, emit);
    return;
  }
  if (displaced !== undefined) {
    const queueFull = createRefusal('queue_full', LEAVING_RETRY_AFTER_MS);
    refuseNotRun(owner, view, displaced.attempt, queueFull, emit);
  }
  dispatchQueued(owner, view, emit);
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
  if (view.at < owner.pausedUntil) {
    return {refusal: createRefusal('upstream_down', DOWN_RETRY_AFTER_MS)};
  }
  const suspect =
    attempt.suspect || isSuspect(view.suspects, attempt.fingerprint);
  const admitted = {attempt, deadlineAt, arrivedAt: view.at, suspect};
  const {policy} = view.settings;
  return tryEnqueue(owner.admission, service, policy, admitted, view.at);
}

/**
 * Cancels an attempt at its entry's request, if that is safe.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param attemptId - The attempt.
 * @param emit - Receives the effects.
 */
export function cancelAttempt(
  owner: Owner,
  view: OwnerView,
  attemptId: string,
  emit: Emit,
): void {
  const queued = removeQueued(owner.admission, attemptId);
  if (queued !== undefined) {
    releaseKey(owner, queued.attempt);
    emit({kind: 'count', counter: 'attempt_refused', reason: 'call_cancelled'});
    dispatchQueued(owner, view, emit);
    return;
  }
  cancelWaitingAttempt(owner, attemptId);
  const running = owner.admission.running.get(attemptId);
  // A request with a key is not aborted, so that a resend gets its answer.
  if (running?.attempt.idempotent === true) {
    emit({kind: 'abortDispatch', attemptId});
  }
}

/**
 * Records the drain state that the upstream's health endpoint reports. It is
 * only a hint, because the endpoint may mislead.
 * @param owner - The owner's state.
 * @param draining - Whether the upstream reports that it drains.
 * @param at - Now, in Unix milliseconds.
 * @returns True if the reported state has changed.
 */
export function recordDrainHint(
  owner: Owner,
  draining: boolean,
  at: number,
): boolean {
  const hasChanged = draining !== (owner.drainHintSince !== undefined);
  if (hasChanged) {
    owner.drainHintSince = draining ? at : undefined;
  }
  return hasChanged;
}

/**
 * Answers a peer's request about keys.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param request - The request.
 * @param emit - Receives the effects.
 * @returns The reply.
 */
export function answerKeyRequest(
  owner: Owner,
  view: OwnerView,
  request: Extract<PeerRequest, {kind: 'closeKey' | 'handOver'}>,
  emit: Emit,
): PeerReply {
  if (request.kind === 'handOver') {
    acceptHandOver(owner, view, request);
    return {kind: 'ok'};
  }
  const {verdict, queuedAttemptId} = closeKey(owner, view, request);
  emit({kind: 'count', counter: 'key_closed', reason: verdict.status});
  if (queuedAttemptId !== undefined) {
    removeQueued(owner.admission, queuedAttemptId);
    // A newer key holder may run the key. Only if an entry gave up, it is
    // certain that the key will not run.
    const refusal = createRefusal(
      request.cause === 'moved' ? 'key_in_doubt' : 'key_closed',
    );
    finishAttempt(owner, view, queuedAttemptId, refusal, emit);
  }
  return {kind: 'closeKey', verdict};
}

/**
 * Handles a former holder's verdict on a key, or its failure to reply.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param address - The former holder's peer address.
 * @param attemptId - The suspended attempt.
 * @param verdict - The verdict, or undefined if there was no reply.
 * @param emit - Receives the effects.
 */
export function handleFormerHolderVerdict(
  owner: Owner,
  view: OwnerView,
  address: string,
  attemptId: string,
  verdict: KeyVerdict | undefined,
  emit: Emit,
): void {
  const settled = applyFormerHolderVerdict(owner, address, attemptId, verdict);
  if (settled === undefined) {
    return;
  }
  const {attempt, deadlineAt, decision} = settled;
  applyDecision(owner, view, attempt, deadlineAt, decision, emit);
}
