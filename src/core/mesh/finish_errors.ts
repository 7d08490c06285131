/**
 * Learns by how much the estimate of an attempt's end is exceeded. Load pattern:
 * a queue that is full for a long time. Each attempt is then admitted just in
 * time for its aim by the estimated means, and every second one would end late.
 */

/** Share of attempts that are to end within estimate and margin. */
const TARGET_SHARE = 0.95;

/** Step of the margin after each attempt, as a share of its route's aim. */
const STEP_SHARE = 0.02;

/** Upper bound of the margin, as a share of the route's aim. */
const MAX_MARGIN_SHARE = 0.4;

/** Margin by which ends are estimated too early, as a share of the route's aim. */
export interface FinishErrors {
  marginShare: number;
}

export function createFinishErrors(): FinishErrors {
  return {marginShare: 0};
}

/** Gets the time to add to an estimated end, in milliseconds. */
export function getFinishMarginMs(
  {marginShare}: FinishErrors,
  routeAimMs: number,
): number {
  return marginShare * routeAimMs;
}

/**
 * Moves the margin towards the quantile of the errors: a late end raises it more
 * than an early one lowers it.
 * @param errors - The margin.
 * @param routeAimMs - Aim of the attempt's route.
 * @param errorMs - Actual end less the end estimated on arrival.
 */
export function recordFinish(
  errors: FinishErrors,
  routeAimMs: number,
  errorMs: number,
): void {
  const exceeded = errorMs > getFinishMarginMs(errors, routeAimMs);
  const step = exceeded ? TARGET_SHARE : TARGET_SHARE - 1;
  const next = errors.marginShare + step * STEP_SHARE;
  errors.marginShare = Math.min(MAX_MARGIN_SHARE, Math.max(0, next));
}
