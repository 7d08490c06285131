/**
 * Estimates how long requests run at one upstream, relative to the aim (target
 * latency) of their route. Each route that has run here has a factor of its
 * own: routes differ in the share of their aim that a run takes, and the runs
 * of some routes wait for calls that they make.
 */

/**
 * Time to run that is assumed before there are samples, as a share of the
 * route's aim. Operators set aims to about three times the run time, so this is
 * right within a factor of two.
 */
export const RUN_SHARE_OF_AIM = 0.35;

/** Weight of one run in the moving average of a factor. */
const SAMPLE_WEIGHT = 0.1;

/** Bounds of one sample, which limit the effect of outliers. */
const MIN_SAMPLE = 0.1;
const MAX_SAMPLE = 8;

/** Weight of one outcome in the moving average of failures. */
const OUTCOME_WEIGHT = 0.08;

/**
 * A run counts as stuck after this multiple of its estimate plus the extra
 * time. The slowest runs take about five times the mean.
 */
const STUCK_FACTOR = 6;
const STUCK_EXTRA_MS = 200;

/**
 * Largest number of routes whose factors are kept; a service has fewer routes at
 * one time.
 */
const MAX_ROUTE_FACTORS = 256;

export interface RunEstimates {
  /** Average time to run over all routes, as a multiple of the prior. */
  slowness: number;
  /** The same for each route that has run here. */
  readonly byRoute: Map<string, number>;
  /** Share of recent attempts that failed or were shed, from 0 to 1. */
  failing: number;
}

export function createRunEstimates(): RunEstimates {
  return {slowness: 1, byRoute: new Map(), failing: 0};
}

/**
 * Returns the time to run that is assumed while an upstream's speed is unknown.
 * @param routeAimMs - The route's aim, in milliseconds.
 * @returns Milliseconds.
 */
export function getPriorRunMs(routeAimMs: number): number {
  return routeAimMs * RUN_SHARE_OF_AIM;
}

/** A route and its aim in milliseconds. */
export interface RouteAim {
  readonly route: string;
  readonly routeAimMs: number;
}

/** Estimates how long a request of a route runs, in milliseconds. */
export function estimateRunMs(
  estimates: RunEstimates,
  routeAim: RouteAim,
): number {
  const factor = estimates.byRoute.get(routeAim.route) ?? estimates.slowness;
  return getPriorRunMs(routeAim.routeAimMs) * factor;
}

/** Returns the time after which a run no longer counts as using its slot. */
export function getStuckThresholdMs(
  estimates: RunEstimates,
  routeAim: RouteAim,
): number {
  return estimateRunMs(estimates, routeAim) * STUCK_FACTOR + STUCK_EXTRA_MS;
}

/**
 * Updates the estimates with the duration of a successful run.
 * @param estimates - The upstream's estimates.
 * @param routeAim - The run's route.
 * @param tookMs - Time from dispatch to answer.
 */
export function recordRunTime(
  estimates: RunEstimates,
  routeAim: RouteAim,
  tookMs: number,
): void {
  const ratio = tookMs / getPriorRunMs(routeAim.routeAimMs);
  const sample = Math.min(MAX_SAMPLE, Math.max(MIN_SAMPLE, ratio));
  const {byRoute} = estimates;
  const previous = byRoute.get(routeAim.route) ?? estimates.slowness;
  byRoute.set(routeAim.route, previous + SAMPLE_WEIGHT * (sample - previous));
  estimates.slowness += SAMPLE_WEIGHT * (sample - estimates.slowness);
  if (byRoute.size > MAX_ROUTE_FACTORS) {
    // Maps iterate in order of insertion, so this removes the route that was
    // added first.
    const [oldest] = byRoute.keys();
    byRoute.delete(oldest);
  }
}

/**
 * Updates the failure share with the outcome of one attempt.
 * @param estimates - The upstream's estimates.
 * @param failed - Whether the upstream failed or shed the request.
 */
export function recordOutcome(estimates: RunEstimates, failed: boolean): void {
  const sample = failed ? 1 : 0;
  estimates.failing += OUTCOME_WEIGHT * (sample - estimates.failing);
}
