/**
 * Decides whether an entry sends the large body of an attempt to this owner. Load
 * pattern: uploads above the bandwidth of the few VMs that serve them. A body that is
 * sent before its attempt is refused has taken the bandwidth of those that are served.
 */
import {Refusal, createRefusal} from '../refusals.js';
import {MeshState, getOwnInstance} from './mesh_state.js';
import {LogFields, MeshEmit, MeshEventBody} from './mesh_types.js';
import {
  Forecast,
  clampRetryAfterMs,
  forecastAttempt,
} from './overload_admission.js';
import {
  createArriving,
  getAdmissionRefusal,
  getSlots,
  refuseAttempt,
} from './owner_attempts.js';
import {QueuedAttempt} from './work_queue.js';

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
  const arriving = createArriving(state, at, attempt, ageMs, 0);
  const forecast = forecastAttempt(
    work,
    estimates,
    slots,
    arriving,
    at,
    aheadMs + ownMs,
  );
  const lateMs = estimateLateMs(arriving, offer, forecast, at);
  if (lateMs > 0) {
    return createRefusal('link_saturated', clampRetryAfterMs(lateMs));
  }
  const {refusal} = forecast;
  return refusal && createRefusal(refusal.reason, refusal.retryAfterMs);
}

/**
 * Estimates by how much other bodies make an attempt too late: for its aim, or for its
 * deadline where it would miss its aim without them.
 * @returns Milliseconds; 0 if they do not.
 */
function estimateLateMs(
  {aimAt, deadlineAt}: QueuedAttempt,
  {aheadMs, ownMs}: Offer,
  {slotWaitMs, runMs}: Forecast,
  at: number,
): number {
  const aloneEndAt = at + Math.max(slotWaitMs, ownMs) + runMs;
  const endAt = at + Math.max(slotWaitMs, aheadMs + ownMs) + runMs;
  const limitAt = aloneEndAt > aimAt ? deadlineAt : aimAt;
  return endAt > aloneEndAt ? Math.max(0, endAt - limitAt) : 0;
}
