/**
 * Decides whether an entry sends the large body of an attempt to this owner. Load
 * pattern: uploads above the bandwidth of the few VMs that serve them. A body that is
 * sent before its attempt is refused has taken the bandwidth of those that are served.
 */
import {Refusal, createRefusal} from '../refusals.js';
import {MeshState, getOwnInstance} from './mesh_state.js';
import {LogFields, MeshEmit, MeshEventBody} from './mesh_types.js';
import {clampRetryAfterMs, forecastAttempt} from './overload_admission.js';
import {
  getAdmissionRefusal,
  getSlots,
  refuseAttempt,
} from './owner_attempts.js';
import {estimateRunMs} from './run_estimates.js';
import {QueuedAttempt, estimateWaitMs} from './work_queue.js';

type Offer = Extract<MeshEventBody, {kind: 'attemptOffered'}>;

/**
 * Refuses an offered attempt that would be refused, or answered too late, once its body
 * has arrived. Otherwise does nothing: it is admitted when it has arrived.
 * @param state - This proxy's state.
 * @param at - Now, in milliseconds.
 * @param offer - The attempt, and how long its body takes.
 * @param emit - Receives effects.
 */
export function considerOffer(
  state: MeshState,
  at: number,
  offer: Offer,
  emit: MeshEmit,
): void {
  const {attempt, ageMs, aheadMs, ownMs} = offer;
  const refusal =
    getAdmissionRefusal(state, at, attempt, ageMs) ??
    findOfferRefusal(state, at, offer);
  if (refusal !== undefined) {
    const inputs: LogFields = {
      bodiesAheadMs: Math.round(aheadMs),
      bodyMs: Math.round(ownMs),
    };
    refuseAttempt(state, at, attempt, refusal, emit, inputs);
  }
}

function findOfferRefusal(
  state: MeshState,
  at: number,
  offer: Offer,
): Refusal | undefined {
  const {work, estimates} = state;
  const {attempt, ageMs, aheadMs, ownMs} = offer;
  const slots = getSlots(getOwnInstance(state));
  const arriving: QueuedAttempt = {
    attempt,
    arrivedAt: at,
    aimAt: at - ageMs + attempt.aimMs,
    deadlineAt: at - ageMs + attempt.timeoutMs,
    callerSeenAt: at,
    suspect: false,
  };
  const waitMs = estimateWaitMs(work, estimates, slots, arriving, at);
  const runMs = estimateRunMs(estimates, attempt);
  const lateMs = estimateLateMs(arriving, {waitMs, runMs, aheadMs, ownMs}, at);
  if (lateMs > 0) {
    return createRefusal('link_saturated', clampRetryAfterMs(lateMs));
  }
  const arrivalMs = aheadMs + ownMs;
  const {refusal} = forecastAttempt(
    work,
    estimates,
    slots,
    arriving,
    at,
    arrivalMs,
  );
  return refusal && createRefusal(refusal.reason, refusal.retryAfterMs);
}

/** Times of an offered attempt, in milliseconds. */
interface OfferTimes {
  /** Until a slot is free. */
  readonly waitMs: number;
  readonly runMs: number;
  readonly aheadMs: number;
  readonly ownMs: number;
}

/**
 * Estimates by how much other bodies make an attempt too late: for its aim, or for its
 * deadline where it would miss its aim without them.
 * @returns Milliseconds; 0 if they do not.
 */
function estimateLateMs(
  {aimAt, deadlineAt}: QueuedAttempt,
  {waitMs, runMs, aheadMs, ownMs}: OfferTimes,
  at: number,
): number {
  const aloneEndAt = at + Math.max(waitMs, ownMs) + runMs;
  const endAt = at + Math.max(waitMs, aheadMs + ownMs) + runMs;
  const limitAt = aloneEndAt > aimAt ? deadlineAt : aimAt;
  return endAt > aloneEndAt ? Math.max(0, endAt - limitAt) : 0;
}
