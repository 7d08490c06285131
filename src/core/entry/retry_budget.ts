/** Limits retries to a share of first attempts, for each service. */

/** Retries that a service may save up while nothing fails. */
const MAX_SAVED_RETRIES = 20;

/** Retries available to a service that has just been seen first. */
const INITIAL_RETRIES = 10;

export type RetryBudgets = Map<string, number>;

export function depositFirstAttempt(
  budgets: RetryBudgets,
  service: string,
  retryBudgetPercent: number,
): void {
  const saved = budgets.get(service) ?? INITIAL_RETRIES;
  const grown = saved + retryBudgetPercent / 100;
  budgets.set(service, Math.min(MAX_SAVED_RETRIES, grown));
}

/**
 * Takes one retry from the budget.
 * @param budgets - The budgets.
 * @param service - The service.
 * @returns True where a retry is allowed.
 */
export function tryWithdrawRetry(
  budgets: RetryBudgets,
  service: string,
): boolean {
  const saved = budgets.get(service) ?? INITIAL_RETRIES;
  if (saved < 1) {
    return false;
  }
  budgets.set(service, saved - 1);
  return true;
}
