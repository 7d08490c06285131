/**
 * Tells callers that return after a refusal from callers that ask for the first
 * time. Load pattern: demand stays above capacity, so calls are refused and come
 * back. A caller that returns has spent part of its time, and can no longer be
 * answered within the aim; in the place of one that can, it would make both late.
 */

/**
 * Factor by which the largest known budget of a route falls with each call, so
 * that it follows callers that begin to state shorter ones.
 */
const BUDGET_DECAY = 0.999;

/** Differences up to this share of the budget are no sign of an earlier try. */
const TOLERATED_SHARE = 0.05;

/** Largest recent time budget of each route's callers, in milliseconds. */
export type CallerBudgets = Map<string, number>;

/**
 * Records the budget that a caller states, and estimates how much of it was spent
 * before.
 * @param budgets - The known budgets.
 * @param route - Name of the call's route.
 * @param statedMs - Time until the caller's deadline; undefined: not stated.
 * @returns Milliseconds since the caller's first try; 0 for a first try.
 */
export function recordCallerBudget(
  budgets: CallerBudgets,
  route: string,
  statedMs: number | undefined,
): number {
  if (statedMs === undefined) {
    return 0;
  }
  const known = (budgets.get(route) ?? 0) * BUDGET_DECAY;
  const budgetMs = Math.max(known, statedMs);
  budgets.set(route, budgetMs);
  const spentMs = budgetMs - statedMs;
  return spentMs > budgetMs * TOLERATED_SHARE ? spentMs : 0;
}

/** Forgets the routes that a configuration no longer has. */
export function retainRoutes(
  budgets: CallerBudgets,
  routes: ReadonlySet<string>,
): void {
  for (const route of budgets.keys()) {
    if (!routes.has(route)) {
      budgets.delete(route);
    }
  }
}
