/**
 * Estimates how long a request will run at one upstream. A route's own factor
 * counts where it has run here: routes differ in how much of their aim their
 * work takes, and some wait for calls of their own.
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
const OUTCOME_WEIGHT = 0.08;

/**
 * A run counts as stuck after this multiple of its estimate, and not before
 * this many milliseconds more: work has a tail of five times its mean.
 */
const STUCK_FACTOR = 6;
const STUCK_EXTRA_MS = 200;

/** Routes whose factors are kept; more than a service has at one time. */
const MAX_ROUTE_FACTORS = 256;

export interface RunEstimates {
  /** Learnt time to run of all routes, as a multiple of the prior. */
  slowness: number;
  /** The same for each route that has run here. */
  readonly byRoute: Map<string, number>;
  /** Share of recent ends that were failures or sheds. */
  failing: number;
}

export function createRunEstimates(): RunEstimates {
  return {slowness: 1, byRoute: new Map(), failing: 0};
}

/**
 * Gets the usual time to run before an upstream's speed is known.
 * @param routeAimMs - The route's aim.
 * @returns Milliseconds.
 */
export function getPriorRunMs(routeAimMs: number): number {
  return routeAimMs * RUN_SHARE_OF_AIM;
}

/** A route, and its aim in milliseconds. */
export interface RouteAim {
  readonly route: string;
  readonly routeAimMs: number;
}

export function estimateRunMs(estimates: RunEstimates, kind: RouteAim): number {
  const factor = estimates.byRoute.get(kind.route) ?? estimates.slowness;
  return getPriorRunMs(kind.routeAimMs) * factor;
}

/** Time after which a run no longer counts as using its slot. */
export function getStuckThresholdMs(
  estimates: RunEstimates,
  kind: RouteAim,
): number {
  return estimateRunMs(estimates, kind) * STUCK_FACTOR + STUCK_EXTRA_MS;
}

/**
 * Learns from a run that ended by itself.
 * @param estimates - The upstream's estimates.
 * @param kind - The run's route.
 * @param tookMs - Time from dispatch to answer.
 */
export function recordRunTime(
  estimates: RunEstimates,
  kind: RouteAim,
  tookMs: number,
): void {
  const ratio = tookMs / getPriorRunMs(kind.routeAimMs);
  const sample = Math.min(MAX_SAMPLE, Math.max(MIN_SAMPLE, ratio));
  const {byRoute} = estimates;
  const previous = byRoute.get(kind.route) ?? estimates.slowness;
  byRoute.set(kind.route, previous + SAMPLE_WEIGHT * (sample - previous));
  estimates.slowness += SAMPLE_WEIGHT * (sample - estimates.slowness);
  if (byRoute.size > MAX_ROUTE_FACTORS) {
    // In order of insertion, so that this is the one met longest ago.
    const [oldest] = byRoute.keys();
    byRoute.delete(oldest);
  }
}

/**
 * Learns whether the upstream served a request.
 * @param estimates - The upstream's estimates.
 * @param failed - It failed or shed the request.
 */
export function recordOutcome(estimates: RunEstimates, failed: boolean): void {
  const sample = failed ? 1 : 0;
  estimates.failing += OUTCOME_WEIGHT * (sample - estimates.failing);
}
