/**
 * Bytes of large answers that wait for a VM's network connection, and what they mean for
 * attempts that arrive. Load pattern: downloads above the bandwidth of the few VMs that
 * serve them. Slots are free there, so nothing else shows that an answer will be late.
 */
import {MeshAttempt} from '../../model/mesh.js';
import {MAX_WHOLE_BODY_BYTES, getPacedBytes, getPacedMs} from './link_rate.js';
import {updateAverage} from './moving_average.js';
import type {MeshState} from './mesh_state.js';
import {estimateRunMs, getStuckThresholdMs} from './run_estimates.js';
import {ServiceClaim, compareClaims} from './service_order.js';
import {QueuedAttempt, estimateWaitMs, willMissAim} from './work_queue.js';

/**
 * Least share of its route's aim that an answer must take on this VM's connection to be
 * refused for its bytes.
 */
const MIN_SHARE_OF_AIM = 0.02;

/** Largest number of routes whose answers are known; a service has fewer. */
const MAX_ROUTES = 256;

/** Bytes that wait, and what their order depends on; see {@link ServiceClaim}. */
export interface WaitingBytes {
  readonly priority: number;
  readonly nested: boolean;
  readonly missesAim: boolean;
  readonly bytes: number;
}

export interface LinkBacklog {
  /** Waiting bytes when last measured, and those sent since, less what has left. */
  waiting: readonly WaitingBytes[];
  updatedAt: number;
  /** Moving average of the bytes of an answer of this owner's upstream. */
  readonly averageBytesByRoute: Map<string, number>;
}

export function createLinkBacklog(): LinkBacklog {
  return {waiting: [], updatedAt: 0, averageBytesByRoute: new Map()};
}

/**
 * Records the bytes that wait now.
 * @param state - This proxy's state.
 * @param waiting - As measured; it replaces what was known.
 * @param at - Now, in milliseconds.
 */
export function recordWaitingBytes(
  {linkBacklog}: MeshState,
  waiting: readonly WaitingBytes[],
  at: number,
): void {
  linkBacklog.waiting = waiting;
  linkBacklog.updatedAt = at;
}

/**
 * Records an answer of the upstream that is sent to its entry now.
 * @param state - This proxy's state.
 * @param run - The run that it ends.
 * @param bytes - Size of the answer's body.
 * @param failed - Whether it is an error, which tells nothing of the others.
 * @param at - Now, in milliseconds.
 */
export function recordAnswerBytes(
  state: MeshState,
  run: QueuedAttempt,
  bytes: number,
  failed: boolean,
  at: number,
): void {
  const {linkBacklog} = state;
  const {route, priority, nested = false} = run.attempt;
  if (!failed) {
    updateAverage(linkBacklog.averageBytesByRoute, route, bytes);
    limitRoutes(linkBacklog.averageBytesByRoute);
  }
  if (bytes > MAX_WHOLE_BODY_BYTES && !isLocal(state, run.attempt)) {
    removeSentBytes(state, at);
    const sent = {priority, nested, missesAim: at > run.aimAt, bytes};
    linkBacklog.waiting = [...linkBacklog.waiting, sent];
  }
}

/** Forgets the route that was added first, where there are too many. */
function limitRoutes(averages: Map<string, number>): void {
  if (averages.size > MAX_ROUTES) {
    const [oldest] = averages.keys();
    averages.delete(oldest);
  }
}

/** Reports whether the entry of an attempt is this proxy: no link carries it. */
function isLocal({callByAttempt}: MeshState, {attemptId}: MeshAttempt) {
  return callByAttempt.has(attemptId);
}

/** Removes what has left since the last update, in the order of the claims. */
function removeSentBytes({linkBacklog, settings}: MeshState, at: number): void {
  const {waiting, updatedAt} = linkBacklog;
  linkBacklog.updatedAt = at;
  if (waiting.length === 0) {
    return;
  }
  let sent = getPacedBytes(at - updatedAt, settings.linkMbps);
  const inOrder = [...waiting].sort((first, second) =>
    compareClaims({...first, turnAt: 0}, {...second, turnAt: 0}),
  );
  linkBacklog.waiting = inOrder.flatMap(group => {
    const taken = Math.min(group.bytes, sent);
    sent -= taken;
    return taken < group.bytes ? [{...group, bytes: group.bytes - taken}] : [];
  });
}

/**
 * Returns the time in which the waiting bytes leave.
 * @param state - This proxy's state.
 * @param at - Now, in milliseconds.
 */
export function getLinkDelayMs(state: MeshState, at: number): number {
  removeSentBytes(state, at);
  const {linkBacklog, settings} = state;
  const bytes = linkBacklog.waiting.reduce(
    (sum, group) => sum + group.bytes,
    0,
  );
  return getPacedMs(bytes, settings.linkMbps);
}

/** Why an attempt is refused for its bytes. */
export interface LinkSaturation {
  /** Expected size of its answer. */
  readonly answerBytes: number;
  /** Time that the bytes ahead of its answer take. */
  readonly aheadMs: number;
  /** Time after which the answer of the same call would arrive in time. */
  readonly retryAfterMs: number;
}

/**
 * Decides whether the answer of an attempt would arrive too late because of bytes: later
 * than its aim, or than its deadline where its run alone misses the aim. The aim of a
 * nested call is its deadline.
 * @param state - This proxy's state.
 * @param arriving - The attempt.
 * @param slots - The upstream's slots.
 * @param at - Now, in milliseconds.
 * @returns Undefined if it need not be refused.
 */
export function findLinkSaturation(
  state: MeshState,
  arriving: QueuedAttempt,
  slots: number,
  at: number,
): LinkSaturation | undefined {
  const {attempt, aimAt, deadlineAt} = arriving;
  const {work, estimates} = state;
  const answerBytes = getLargeAnswerBytes(state, attempt);
  if (answerBytes === 0) {
    return undefined;
  }
  const ownMs = getPacedMs(answerBytes, state.settings.linkMbps);
  const waitMs = estimateWaitMs(work, estimates, slots, arriving, at);
  const runEndMs = waitMs + estimateRunMs(estimates, attempt);
  const limitAt = at + runEndMs + ownMs > aimAt ? deadlineAt : aimAt;
  const aheadMs = estimateAheadMs(state, arriving, at);
  const lateMs = at + aheadMs + ownMs - limitAt;
  // Where the run ends after the bytes ahead have left, they are not the cause.
  return lateMs <= 0 || runEndMs >= aheadMs
    ? undefined
    : {answerBytes, aheadMs, retryAfterMs: lateMs};
}

/** Returns the expected bytes of an answer; 0 if few, unknown or sent over no link. */
function getLargeAnswerBytes(state: MeshState, attempt: MeshAttempt): number {
  const {linkBacklog, settings} = state;
  const bytes = linkBacklog.averageBytesByRoute.get(attempt.route) ?? 0;
  const isLarge =
    bytes > MAX_WHOLE_BODY_BYTES &&
    getPacedMs(bytes, settings.linkMbps) >
      attempt.routeAimMs * MIN_SHARE_OF_AIM;
  return isLarge && !isLocal(state, attempt) ? bytes : 0;
}

/**
 * Estimates the time that the bytes ahead of an answer take: those that wait, and the
 * answers of attempts that wait or run here.
 */
function estimateAheadMs(
  state: MeshState,
  arriving: QueuedAttempt,
  at: number,
): number {
  const {linkBacklog, work, estimates, settings} = state;
  removeSentBytes(state, at);
  const {priority, nested = false} = arriving.attempt;
  const claim = {priority, nested, missesAim: false, turnAt: at};
  const isAhead = (other: ServiceClaim) => compareClaims(other, claim) < 0;
  let bytes = 0;
  for (const group of linkBacklog.waiting) {
    bytes += isAhead({...group, turnAt: -Infinity}) ? group.bytes : 0;
  }
  const running = [...work.running.values()].filter(
    ({attempt, startedAt}) =>
      at - startedAt <= getStuckThresholdMs(estimates, attempt),
  );
  for (const other of [...running, ...work.queue]) {
    const {attempt, arrivedAt, aimAt} = other;
    const missesAim =
      'startedAt' in other ? at > aimAt : willMissAim(other, estimates, at);
    const otherClaim = {
      priority: attempt.priority,
      nested: attempt.nested === true,
      missesAim,
      turnAt: Math.min(arrivedAt, at - 1),
    };
    bytes += isAhead(otherClaim) ? getLargeAnswerBytes(state, attempt) : 0;
  }
  return getPacedMs(bytes, settings.linkMbps);
}
