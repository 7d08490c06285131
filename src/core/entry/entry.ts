/**
 * The entry role: takes callers' requests, sends attempts to owners, retries
 * where that is safe, and gives each call one final answer.
 */
import {
  findRoute,
  isIdempotent,
  RoutingTable,
  UpstreamTarget,
} from '../config/routing_table.js';
import {CoreSettings} from '../core_settings.js';
import {
  createRefusal,
  Refusal,
  RefusalReason,
  weakenToUnknown,
} from '../refusals.js';
import {Membership} from '../spread/membership.js';
import {Attempt, KeyVerdict, LoadReport} from '../../model/peer.js';
import {Answer, CallInfo, Emit, FailureKind} from '../types.js';
import {chooseUpstream, getHome} from './balancer.js';
import {Call, Calls, createCalls, removeCall} from './calls.js';
import {
  getLoad,
  isBelievedWell,
  LoadView,
  noteDown,
  noteFailure,
  noteReport,
  noteSuccess,
  noteTimeout,
  UpstreamLoad,
} from './load_view.js';
import {
  depositFirstAttempt,
  RetryBudgets,
  tryWithdrawRetry,
} from './retry_budget.js';

/** Share of the remaining time kept for closing a key after a timeout. */
const CLOSE_RESERVE_SHARE = 0.1;
const CLOSE_RESERVE_MAX_MS = 50;

/**
 * Time after the deadline in which an owner's verdict still counts. Owners
 * remember an attempt for longer than this.
 */
const CLOSE_VALID_MS = 5_000;

/** Least time in which an attempt has a chance to finish. */
const MIN_ATTEMPT_MS = 2;

/** Pause before a keyed call asks a home again that is behind. */
const HOME_RETRY_MS = 50;

/** Wait that a caller is advised where nothing better is known. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

export interface Entry {
  readonly calls: Calls;
  readonly loads: LoadView;
  readonly budgets: RetryBudgets;
}

/** What the entry reads from the other parts. */
export interface EntryView {
  readonly settings: CoreSettings;
  readonly table: RoutingTable;
  readonly membership: Membership;
  readonly ready: boolean;
  readonly at: number;
  readonly entropy: number;
  isQuarantined(fingerprint: string): boolean;
}

export function createEntry(): Entry {
  return {calls: createCalls(), loads: new Map(), budgets: new Map()};
}

/**
 * Accepts or refuses a caller's request.
 * @param entry - This part's state.
 * @param view - Read-only views of the other parts.
 * @param callId - Identifies the call; also seeds its attempts' identifiers.
 * @param info - The request.
 * @param emit - Takes effects.
 */
export function acceptCall(
  entry: Entry,
  view: EntryView,
  callId: string,
  info: CallInfo,
  emit: Emit,
): void {
  const call = tryCreateCall(view, callId, info);
  if (call.kind === 'refusal') {
    const final = info.key === undefined ? call : weakenToUnknown(call);
    emitRefusal(callId, final, emit);
    return;
  }
  entry.calls.byId.set(callId, call.call);
  const {route} = call.call;
  depositFirstAttempt(
    entry.budgets,
    route.service,
    route.target.retryBudgetPercent,
  );
  sendNextAttempt(entry, view, call.call, createRefusal('no_upstream'), emit);
}

function tryCreateCall(
  view: EntryView,
  callId: string,
  info: CallInfo,
): {readonly kind: 'call'; readonly call: Call} | Refusal {
  if (!view.ready) {
    return createRefusal('proxy_not_ready', DEFAULT_RETRY_AFTER_MS);
  }
  const route = findRoute(view.table, info.method, info.host, info.path);
  if (route === undefined) {
    return createRefusal('no_route');
  }
  if (view.isQuarantined(info.fingerprint)) {
    return createRefusal('quarantined');
  }
  const idempotent = isIdempotent(route, info.method);
  const timeoutMs = Math.min(route.timeoutMs, info.timeoutMs ?? Infinity);
  const call: Call = {
    callId,
    info,
    route,
    idempotent,
    key: idempotent ? undefined : (info.key ?? callId),
    privateKey: info.key === undefined,
    deadlineAt: view.at + timeoutMs,
    triedUpstreams: new Set(),
    attemptCount: 0,
    mayHaveRun: false,
    suspect: false,
  };
  return {kind: 'call', call};
}

function hasSharedKey(call: Call): boolean {
  return call.key !== undefined && !call.privateKey;
}

/** Sends an attempt, or gives the call the refusal of the last one. */
function sendNextAttempt(
  entry: Entry,
  view: EntryView,
  call: Call,
  lastRefusal: Refusal,
  emit: Emit,
): void {
  const remainingMs = call.deadlineAt - view.at;
  if (remainingMs < MIN_ATTEMPT_MS) {
    refuseCall(entry, call, createRefusal('deadline_too_short'), emit);
    return;
  }
  const upstream = chooseTarget(entry, view, call);
  if (upstream === undefined) {
    refuseCall(entry, call, lastRefusal, emit);
    return;
  }
  call.attemptCount += 1;
  call.triedUpstreams.add(upstream.id);
  const timeoutMs = getAttemptMs(entry, view, call, remainingMs);
  const attempt = createAttempt(view, call, upstream.id, timeoutMs);
  call.currentAttempt = {
    attemptId: attempt.attemptId,
    upstreamId: upstream.id,
    address: upstream.peerAddress,
    closing: false,
  };
  entry.calls.byAttempt.set(attempt.attemptId, call);
  getLoad(entry.loads, upstream.id).ownAttempts += 1;
  emit({
    kind: 'sendAttempt',
    callId: call.callId,
    address: upstream.peerAddress,
    attempt,
  });
}

/** Chooses by the version in force now, which may be newer than the call. */
function chooseTarget(
  entry: Entry,
  view: EntryView,
  call: Call,
): UpstreamTarget | undefined {
  const service = view.table.services.get(call.route.service);
  if (service === undefined) {
    return undefined;
  }
  if (call.key !== undefined && !call.privateKey) {
    return getHome(view.table, service, call.key);
  }
  const {loads} = entry;
  return chooseUpstream(service, call.triedUpstreams, {...view, loads});
}

/** Keeps time for closing a key, or for another attempt. */
function getAttemptMs(
  entry: Entry,
  view: EntryView,
  call: Call,
  remainingMs: number,
): number {
  if (!call.idempotent) {
    const reserveMs = remainingMs * CLOSE_RESERVE_SHARE;
    return remainingMs - Math.min(CLOSE_RESERVE_MAX_MS, reserveMs);
  }
  const {firstAttemptShare} = view.settings.policy;
  const hasOther =
    firstAttemptShare < 1 &&
    call.attemptCount === 1 &&
    !call.info.retriedByOuter &&
    chooseTarget(entry, view, call) !== undefined;
  return hasOther ? remainingMs * firstAttemptShare : remainingMs;
}

function createAttempt(
  view: EntryView,
  call: Call,
  upstreamId: string,
  timeoutMs: number,
): Attempt {
  return {
    attemptId: `${call.callId}.${call.attemptCount}`,
    service: call.route.service,
    upstreamId,
    version: view.table.version,
    idempotent: call.idempotent,
    key: call.key,
    privateKey: call.privateKey,
    timeoutMs,
    fingerprint: call.info.fingerprint,
    suspect: call.suspect,
    priority: call.route.priority,
  };
}

/**
 * Takes an owner's result for an attempt.
 * @param entry - This part's state.
 * @param view - Read-only views of the other parts.
 * @param attemptId - The attempt.
 * @param result - The upstream's answer or the owner's refusal.
 * @param load - The upstream's load, where reported.
 * @param emit - Takes effects.
 */
export function takeResult(
  entry: Entry,
  view: EntryView,
  attemptId: string,
  result: Answer | Refusal,
  load: LoadReport | undefined,
  emit: Emit,
): void {
  const call = endAttempt(entry, attemptId);
  if (call === undefined) {
    return;
  }
  const upstreamId = call.currentAttempt?.upstreamId ?? '';
  const upstream = getLoad(entry.loads, upstreamId);
  noteReport(upstream, load, view.at);
  noteOutcome(upstream, result, view.at);
  if (result.kind === 'answer') {
    takeAnswer(entry, view, call, result, emit);
    return;
  }
  takeRefusal(entry, view, call, result, emit);
}

/** Learns from a result whether the upstream is well. */
function noteOutcome(
  load: UpstreamLoad,
  result: Answer | Refusal,
  at: number,
): void {
  if (result.kind === 'answer') {
    noteSuccess(load);
    return;
  }
  switch (result.reason) {
    case 'upstream_down':
      noteDown(load, at);
      return;
    case 'proxy_not_ready':
    case 'attempt_lost':
    case 'answer_truncated':
      noteFailure(load, at);
      return;
    case 'attempt_timeout':
      noteTimeout(load, at);
      return;
    default:
      // The owner is well, which says nothing of the upstream behind it.
      return;
  }
}

function takeAnswer(
  entry: Entry,
  view: EntryView,
  call: Call,
  answer: Answer,
  emit: Emit,
): void {
  const shed = answer.status === 503 && call.idempotent;
  if (shed && mayRetry(entry, view, call, 'upstream_shed', emit)) {
    call.mayHaveRun = true;
    sendNextAttempt(entry, view, call, createRefusal('no_upstream'), emit);
    return;
  }
  removeCall(entry.calls, call);
  emit({kind: 'answerCall', callId: call.callId, result: answer});
}

function takeRefusal(
  entry: Entry,
  view: EntryView,
  call: Call,
  refusal: Refusal,
  emit: Emit,
): void {
  if (refusal.outcome === 'unknown') {
    call.mayHaveRun = true;
  }
  // It crashed an upstream where no other suspect ran, so it is the cause.
  const isCulprit = refusal.reason === 'attempt_lost' && call.suspect;
  if (refusal.reason === 'attempt_lost') {
    call.suspect = true;
  }
  if (hasSharedKey(call)) {
    const behind = refusal.reason === 'wrong_home';
    if (behind && view.at + HOME_RETRY_MS < call.deadlineAt) {
      call.retryAt = view.at + HOME_RETRY_MS;
      entry.calls.delayed.add(call);
      emit({kind: 'count', counter: 'call_retried', reason: 'wrong_home'});
      return;
    }
    refuseCall(entry, call, refusal, emit, 'home');
    return;
  }
  const safe = call.idempotent || refusal.outcome === 'not-run';
  const final = refusal.reason === 'quarantined' || isCulprit;
  if (safe && !final && mayRetry(entry, view, call, refusal.reason, emit)) {
    sendNextAttempt(entry, view, call, refusal, emit);
    return;
  }
  refuseCall(entry, call, refusal, emit);
}

/**
 * Takes the failure of an attempt on its way to or from the owner.
 * @param entry - This part's state.
 * @param view - Read-only views of the other parts.
 * @param attemptId - The attempt.
 * @param failure - How it failed.
 * @param emit - Takes effects.
 */
export function takeFailure(
  entry: Entry,
  view: EntryView,
  attemptId: string,
  failure: FailureKind,
  emit: Emit,
): void {
  const call = endAttempt(entry, attemptId);
  const current = call?.currentAttempt;
  if (call === undefined || current === undefined) {
    return;
  }
  const load = getLoad(entry.loads, current.upstreamId);
  if (failure === 'timeout') {
    noteTimeout(load, view.at);
  } else if (failure === 'connect') {
    noteDown(load, view.at);
  } else {
    noteFailure(load, view.at);
  }
  const refusal = createFailureRefusal(failure, hasSharedKey(call));
  if (failure !== 'connect') {
    call.mayHaveRun = true;
  }
  if (call.key !== undefined && failure !== 'connect') {
    askToClose(entry, view, call, emit);
    return;
  }
  const safe = call.idempotent || !hasSharedKey(call);
  if (safe && mayRetry(entry, view, call, refusal.reason, emit)) {
    sendNextAttempt(entry, view, call, refusal, emit);
    return;
  }
  refuseCall(entry, call, refusal, emit);
}

function createFailureRefusal(
  failure: FailureKind,
  sharedKey: boolean,
): Refusal {
  switch (failure) {
    case 'connect':
      return createRefusal(
        sharedKey ? 'home_unreachable' : 'upstream_down',
        DEFAULT_RETRY_AFTER_MS,
      );
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

/** Asks the owner whether the attempt ran, and to prevent it if it did not. */
function askToClose(
  entry: Entry,
  view: EntryView,
  call: Call,
  emit: Emit,
): void {
  const current = call.currentAttempt;
  if (current === undefined || call.key === undefined) {
    return;
  }
  current.closing = true;
  entry.calls.byAttempt.set(current.attemptId, call);
  emit({
    kind: 'askPeer',
    address: current.address,
    request: {
      kind: 'closeKey',
      service: call.route.service,
      key: call.key,
      attemptId: current.attemptId,
      cause: 'give-up',
      version: view.table.version,
    },
  });
}

/**
 * Takes an owner's word on a key that this entry asked it to close.
 * @param entry - This part's state.
 * @param view - Read-only views of the other parts.
 * @param attemptId - The attempt that failed.
 * @param verdict - The owner's word, or undefined where it did not answer.
 * @param emit - Takes effects.
 */
export function takeCloseVerdict(
  entry: Entry,
  view: EntryView,
  attemptId: string,
  verdict: KeyVerdict | undefined,
  emit: Emit,
): void {
  const call = entry.calls.byAttempt.get(attemptId);
  if (call?.currentAttempt?.closing !== true) {
    return;
  }
  entry.calls.byAttempt.delete(attemptId);
  // An owner that was asked much later may have forgotten the key.
  const inTime = view.at <= call.deadlineAt + CLOSE_VALID_MS;
  const notRun =
    inTime && (verdict?.status === 'never-ran' || verdict?.status === 'closed');
  if (!notRun) {
    refuseCall(entry, call, createRefusal('attempt_lost'), emit);
    return;
  }
  call.mayHaveRun = false;
  const refusal = createRefusal('key_closed');
  if (call.privateKey && mayRetry(entry, view, call, 'closed', emit)) {
    sendNextAttempt(entry, view, call, refusal, emit);
    return;
  }
  refuseCall(entry, call, refusal, emit, 'home');
}

/**
 * Failures that happen at most once for each request that an upstream was
 * running, because the upstream is avoided afterwards. They cause no retry
 * storm, and a crash or a planned stop must not use up the budget.
 */
const BOUNDED_FAILURES: ReadonlySet<string> = new Set<RefusalReason>([
  'upstream_down',
  'attempt_lost',
]);

/** Decides whether a retry may be made, and pays for it. */
function mayRetry(
  entry: Entry,
  view: EntryView,
  call: Call,
  reason: RefusalReason | 'upstream_shed' | 'closed',
  emit: Emit,
): boolean {
  // As nothing ran, a retry by an inner layer multiplies no work.
  const anyLayer = reason === 'upstream_leaving';
  const inTime = call.deadlineAt - view.at >= MIN_ATTEMPT_MS;
  if ((call.info.retriedByOuter && !anyLayer) || !inTime) {
    return false;
  }
  const target = chooseTarget(entry, view, call);
  if (target === undefined) {
    return false;
  }
  const isWell = isBelievedWell(getLoad(entry.loads, target.id), view.at);
  const free = anyLayer || (isWell && BOUNDED_FAILURES.has(reason));
  if (!free && !tryWithdrawRetry(entry.budgets, call.route.service)) {
    emit({kind: 'count', counter: 'call_retried', reason: 'no_budget'});
    return false;
  }
  emit({kind: 'count', counter: 'call_retried', reason});
  return true;
}

/**
 * Repeats delayed attempts whose time has come.
 * @param entry - This part's state.
 * @param view - Read-only views of the other parts.
 * @param emit - Takes effects.
 */
export function sendDelayedAttempts(
  entry: Entry,
  view: EntryView,
  emit: Emit,
): void {
  for (const call of entry.calls.delayed) {
    if ((call.retryAt ?? 0) <= view.at) {
      call.retryAt = undefined;
      entry.calls.delayed.delete(call);
      sendNextAttempt(entry, view, call, createRefusal('wrong_home'), emit);
    }
  }
}

/**
 * Forgets a call whose caller went away.
 * @param entry - This part's state.
 * @param callId - The call.
 * @param emit - Takes effects.
 */
export function dropCall(entry: Entry, callId: string, emit: Emit): void {
  const call = entry.calls.byId.get(callId);
  if (call === undefined) {
    return;
  }
  const {currentAttempt} = call;
  if (currentAttempt !== undefined) {
    const {attemptId} = currentAttempt;
    endAttempt(entry, attemptId);
    emit({kind: 'cancelAttempt', attemptId});
  }
  removeCall(entry.calls, call);
  emit({kind: 'count', counter: 'call_refused', reason: 'call_cancelled'});
}

/** Detaches an attempt from its call; undefined where it is not current. */
function endAttempt(entry: Entry, attemptId: string): Call | undefined {
  const call = entry.calls.byAttempt.get(attemptId);
  const current = call?.currentAttempt;
  if (call === undefined || current === undefined || current.closing) {
    return undefined;
  }
  entry.calls.byAttempt.delete(attemptId);
  getLoad(entry.loads, current.upstreamId).ownAttempts -= 1;
  return call;
}

/**
 * Gives a call its refusal. Of a shared key only its home may say `not-run`:
 * an entry does not know what became of other tries under the same key.
 */
function refuseCall(
  entry: Entry,
  call: Call,
  refusal: Refusal,
  emit: Emit,
  decidedBy: 'entry' | 'home' = 'entry',
): void {
  removeCall(entry.calls, call);
  const doubtful =
    call.mayHaveRun || (hasSharedKey(call) && decidedBy === 'entry');
  emitRefusal(call.callId, doubtful ? weakenToUnknown(refusal) : refusal, emit);
}

function emitRefusal(callId: string, refusal: Refusal, emit: Emit): void {
  emit({kind: 'count', counter: 'call_refused', reason: refusal.reason});
  emit({kind: 'answerCall', callId, result: refusal});
}
