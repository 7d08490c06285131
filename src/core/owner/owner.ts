/**
 * The owner role: alone decides what the upstream beside it runs, and never
 * runs a key twice.
 */
import {Attempt, KeyVerdict, PeerReply, PeerRequest} from '../../model/peer.js';
import {getKeyHolder} from '../entry/balancer.js';
import {Refusal, createRefusal, withUnknownOutcome} from '../refusals.js';
import {Emit} from '../types.js';
import {EnqueueResult, removeQueued, tryEnqueue} from './admission.js';
import {isQuarantined, isSuspect} from './crash_suspects.js';
import {
  DOWN_RETRY_AFTER_MS,
  LEAVING_RETRY_AFTER_MS,
  finishAttempt,
  refuseNotRun,
  dispatchQueued,
} from './dispatching.js';
import {closeKey, acceptHandOver} from './key_closing.js';
import {
  KeyDecision,
  cancelWaitingAttempt,
  claimKey,
  releaseKey,
  applyFormerHolderVerdict,
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
    const final = hasSharedKey(attempt) ? withUnknownOutcome(refusal) : refusal;
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
      // The heirs have been told all; this home may no longer decide.
      return createRefusal('upstream_leaving', LEAVING_RETRY_AFTER_MS);
    }
    const holder = getKeyHolder(log.table, service, attempt.key ?? '');
    const isBehind = log.active.version < attempt.version;
    // The home that a newer version names will be asked next.
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
    releaseKey(owner, queued.attempt);
    emit({kind: 'count', counter: 'attempt_refused', reason: 'call_cancelled'});
    dispatchQueued(owner, view, emit);
    return;
  }
  cancelWaitingAttempt(owner, attemptId);
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
    acceptHandOver(owner, view, request);
    return {kind: 'ok'};
  }
  const {verdict, queuedAttemptId: stoppedAttemptId} = closeKey(
    owner,
    view,
    request,
  );
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
