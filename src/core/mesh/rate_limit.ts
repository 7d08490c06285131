/**
 * The request rate that an upstream accepts. An overloaded upstream names it in
 * its answers, as a total for the fleet. All its requests pass through its owner,
 * so the owner's token bucket enforces the limit. Entries
 * know it from load reports and choose by the wait that it causes.
 */
import {UpstreamLoad} from '../entry/load_view.js';

/**
 * Least rate at which an upstream gets requests. It names the end of a limit only
 * in an answer, so a limit of zero would last for ever.
 */
const MIN_RATE_PER_S = 0.25;

/** Capacity of the bucket: the requests of this time, in seconds. */
const BURST_S = 0.25;

/**
 * Least capacity, in requests. With one, the tokens that are earned between two
 * timer ticks would be lost.
 */
const MIN_BURST = 2;

export interface RateLimit {
  /** Requests per second; undefined: no limit is known. */
  perSecond?: number;
  /** The present process of the upstream has answered this process. */
  confirmed: boolean;
  tokens: number;
  refilledAt: number;
}

export function createRateLimit(): RateLimit {
  return {confirmed: false, tokens: 0, refilledAt: 0};
}

function getRate(perSecond: number): number {
  return Math.max(MIN_RATE_PER_S, perSecond);
}

function getCapacity(perSecond: number): number {
  return Math.max(MIN_BURST, getRate(perSecond) * BURST_S);
}

function refill(limit: RateLimit, perSecond: number, at: number): void {
  const earned =
    (Math.max(0, at - limit.refilledAt) / 1_000) * getRate(perSecond);
  limit.tokens = Math.min(getCapacity(perSecond), limit.tokens + earned);
  limit.refilledAt = at;
}

/** Sets or ends the limit, and keeps the tokens that were not used. */
function setPerSecond(
  limit: RateLimit,
  perSecond: number | undefined,
  at: number,
): void {
  if (limit.perSecond !== undefined) {
    refill(limit, limit.perSecond, at);
  } else {
    limit.tokens = 1;
    limit.refilledAt = at;
  }
  limit.perSecond = perSecond;
  if (perSecond !== undefined) {
    limit.tokens = Math.min(limit.tokens, getCapacity(perSecond));
  }
}

/**
 * Applies what an answer of the upstream names.
 * @param limit - The upstream's limit.
 * @param perSecond - Requests per second; undefined: none.
 * @param at - Now, in milliseconds.
 */
export function confirmRateLimit(
  limit: RateLimit,
  perSecond: number | undefined,
  at: number,
): void {
  limit.confirmed = true;
  setPerSecond(limit, perSecond, at);
}

/**
 * Adopts the limit that an entry knows, unless the upstream itself has answered
 * this process: an owner that has restarted learns the limit from its entries.
 */
export function adoptRateLimitHint(
  limit: RateLimit,
  perSecond: number | undefined,
  at: number,
): void {
  const isLower =
    perSecond !== undefined && perSecond < (limit.perSecond ?? Infinity);
  if (!limit.confirmed && isLower) {
    setPerSecond(limit, perSecond, at);
  }
}

/** Forgets the limit, because another process of the upstream runs now. */
export function resetRateLimit(limit: RateLimit): void {
  limit.confirmed = false;
  limit.perSecond = undefined;
}

/**
 * Returns the time until the limit allows a request to start.
 * @param limit - The upstream's limit.
 * @param ahead - Number of requests that start before it.
 * @param at - Now, in milliseconds.
 * @returns Milliseconds; 0 if there is no limit.
 */
export function getRateDelayMs(
  limit: RateLimit,
  ahead: number,
  at: number,
): number {
  const {perSecond} = limit;
  if (perSecond === undefined) {
    return 0;
  }
  refill(limit, perSecond, at);
  const missing = ahead + 1 - limit.tokens;
  return Math.max(0, (missing / getRate(perSecond)) * 1_000);
}

/** Takes the token of a request that starts now. */
export function spendRateToken(limit: RateLimit): void {
  if (limit.perSecond !== undefined) {
    limit.tokens -= 1;
  }
}

/**
 * Estimates how long the upstream's limits, of which one holds only while it is
 * cold, make another request wait, as an entry knows them.
 * @param load - The upstream's record.
 * @param at - Now, in milliseconds.
 * @returns Milliseconds; 0 if its owner has reported no limit.
 */
export function estimateLimitDelayMs(load: UpstreamLoad, at: number): number {
  const {limitPerSecond, limitDelayMs, coldPerSecond, coldDelayMs} =
    load.report ?? {};
  return Math.max(
    estimateReportedDelayMs(load, limitPerSecond, limitDelayMs, at),
    estimateReportedDelayMs(load, coldPerSecond, coldDelayMs, at),
  );
}

function estimateReportedDelayMs(
  load: UpstreamLoad,
  perSecond: number | undefined,
  delayMs = 0,
  at: number,
): number {
  if (perSecond === undefined) {
    return 0;
  }
  const sentSince = Math.max(0, load.ownAttempts - load.reportedAttempts);
  const sentMs = (sentSince / getRate(perSecond)) * 1_000;
  return Math.max(0, delayMs + sentMs - (at - load.reportedAt));
}
