/**
 * Limits retries, hedges included, to a share of the calls: a token bucket for
 * each service. The limit applies to the whole fleet; its proxies don't
 * coordinate, so each uses only its own part of the budget.
 */
import {MeshSettings} from './mesh_settings.js';

/**
 * Share of the budget that is used. The rest covers what the proxies cannot
 * count: calls that a retried run makes in turn, and uneven traffic.
 */
const USED_BUDGET_SHARE = 0.4;

/**
 * Share of `retryExtra` that is used. The rest covers restarts, because a proxy
 * that restarts gets its part of the extra again.
 */
const USED_EXTRA_SHARE = 0.4;

interface TokenBucket {
  tokens: number;
  /** Calls in the current window; they bound the tokens carried over from it. */
  callsInWindow: number;
  windowStartedAt: number;
}

/** Token buckets by service. */
export type RetryTokens = Map<string, TokenBucket>;

/** Gets a service's bucket, and starts a new window if its window is over. */
function getBucket(
  retries: RetryTokens,
  settings: MeshSettings,
  proxies: number,
  service: string,
  at: number,
): TokenBucket {
  let bucket = retries.get(service);
  const extra = getOwnExtra(settings, proxies);
  if (bucket === undefined) {
    bucket = {tokens: extra, callsInWindow: 0, windowStartedAt: at};
    retries.set(service, bucket);
  }
  if (at - bucket.windowStartedAt > settings.retryWindowMs) {
    // Tokens saved over more than one window would exceed the next one's limit.
    const earned =
      bucket.callsInWindow * settings.retryShare * USED_BUDGET_SHARE;
    bucket.tokens = Math.min(bucket.tokens, extra + earned);
    bucket.callsInWindow = 0;
    bucket.windowStartedAt = at;
  }
  return bucket;
}

/** Gets this proxy's part of the fixed number of retries per window. */
function getOwnExtra(settings: MeshSettings, proxies: number): number {
  return (settings.retryExtra * USED_EXTRA_SHARE) / Math.max(1, proxies);
}

/** Adds the fraction of a token that a call contributes. */
export function creditRetryTokens(
  retries: RetryTokens,
  settings: MeshSettings,
  proxies: number,
  service: string,
  at: number,
): void {
  const bucket = getBucket(retries, settings, proxies, service, at);
  bucket.callsInWindow += 1;
  bucket.tokens += settings.retryShare * USED_BUDGET_SHARE;
}

/**
 * Reports whether the budget allows a retry.
 * @param reserve - Tokens that must be left after it.
 */
export function canRetry(
  retries: RetryTokens,
  settings: MeshSettings,
  proxies: number,
  service: string,
  at: number,
  reserve = 0,
): boolean {
  const bucket = getBucket(retries, settings, proxies, service, at);
  return bucket.tokens >= 1 + reserve;
}

/** Takes the token of a retry that {@link canRetry} allowed. */
export function spendRetryToken(
  retries: RetryTokens,
  settings: MeshSettings,
  proxies: number,
  service: string,
  at: number,
): void {
  getBucket(retries, settings, proxies, service, at).tokens -= 1;
}
