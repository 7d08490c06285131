/**
 * Limits second sends to a share of the calls. The budget belongs to the whole
 * fleet and its proxies do not agree on it, so each keeps to its own part.
 */
import {MeshSettings} from './mesh_settings.js';

/**
 * Part of the budget that is used. The rest covers what the proxies cannot
 * see: calls that a repeated run makes in its turn, and uneven traffic.
 */
const USED_BUDGET_SHARE = 0.5;

/** Part of the fixed extra that is used; a restarted proxy gets it again. */
const USED_EXTRA_SHARE = 0.4;

interface TokenBucket {
  tokens: number;
  /** Calls in the current window, from which the most savings follow. */
  callsInWindow: number;
  windowStartedAt: number;
}

export type RetryTokens = Map<string, TokenBucket>;

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
    // What is saved up beyond a window's share would be spent in another one.
    const earned =
      bucket.callsInWindow * settings.retryShare * USED_BUDGET_SHARE;
    bucket.tokens = Math.min(bucket.tokens, extra + earned);
    bucket.callsInWindow = 0;
    bucket.windowStartedAt = at;
  }
  return bucket;
}

function getOwnExtra(settings: MeshSettings, proxies: number): number {
  return (settings.retryExtra * USED_EXTRA_SHARE) / Math.max(1, proxies);
}

/** Notes a call, which earns a share of a second send. */
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
 * Tells whether the budget allows a second send.
 * @param reserve - Tokens that must be left over.
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

/** Takes from the budget a second send that {@link canRetry} allowed. */
export function spendRetryToken(
  retries: RetryTokens,
  settings: MeshSettings,
  proxies: number,
  service: string,
  at: number,
): void {
  getBucket(retries, settings, proxies, service, at).tokens -= 1;
}
