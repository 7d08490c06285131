/**
 * Estimates how long a request will run at one upstream. Routes differ in
 * their work, upstreams in their speed, so the one factor that is learnt here
 * applies to every route.
 */

/**
 * Usual time to run as a share of the route's aim. Operators set aims at
 * about three times the work, so the prior is right within a factor of two
 * before anything has been learnt.
 */
const RUN_SHARE_OF_AIM = 0.35;

/** Weight of one run in the moving average of the factor. */
const SAMPLE_WEIGHT = 0.1;

/** Bounds of one sample, so that one outlier does not decide. */
const MIN_SAMPLE = 0.1;
const MAX_SAMPLE = 8;

/** Weight of one end in the moving average of failures. */
const FAILURE_WEIGHT = 0.08;

/**
 * A run counts as stuck after this multiple of its estimate, and not before
 * this many milliseconds more: work has a tail of five times its mean.
 */
const STUCK_FACTOR = 6;
const STUCK_EXTRA_MS = 200;

export interface RunEstimates {
  /** Learnt time to run, as a multiple of the prior. */
  slowness: number;
  /** Share of recent ends that were failures or sheds. */
  failing: number;
}

export function createRunEstimates(): RunEstimates {
  return {slowness: 1, failing: 0};
}

/**
 * Gets the usual time to run before an upstream's speed is known.
 * @param routeAimMs - The route's aim.
 * @returns Milliseconds.
 */
export function getUsualRunMs(routeAimMs: number): number {
  return routeAimMs * RUN_SHARE_OF_AIM;
}

export function getRunMs(estimates: RunEstimates, routeAimMs: number): number {
  return getUsualRunMs(routeAimMs) * estimates.slowness;
}

/** Time after which a run no longer counts as using its slot. */
export function getStuckMs(
  estimates: RunEstimates,
  routeAimMs: number,
): number {
  return getRunMs(estimates, routeAimMs) * STUCK_FACTOR + STUCK_EXTRA_MS;
}

/**
 * Learns from a run that ended by itself.
 * @param estimates - The upstream's estimates.
 * @param routeAimMs - The route's aim.
 * @param tookMs - Time from dispatch to answer.
 */
export function learnRun(
  estimates: RunEstimates,
  routeAimMs: number,
  tookMs: number,
): void {
  const ratio = tookMs / getUsualRunMs(routeAimMs);
  const sample = Math.min(MAX_SAMPLE, Math.max(MIN_SAMPLE, ratio));
  estimates.slowness += SAMPLE_WEIGHT * (sample - estimates.slowness);
}

/**
 * Learns whether the upstream served a request.
 * @param estimates - The upstream's estimates.
 * @param failed - It failed or shed the request.
 */
export function learnEnd(estimates: RunEstimates, failed: boolean): void {
  const sample = failed ? 1 : 0;
  estimates.failing += FAILURE_WEIGHT * (sample - estimates.failing);
}
