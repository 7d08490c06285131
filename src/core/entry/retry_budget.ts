/**
 * Limits the retries to each service to a share of first attempts. Each entry
 * has its own budgets and may save up little, because many entries that spend
 * their savings at the same time would cause a burst of retries.
 */

/** Most first attempts whose share of retries is saved up. */
const MAX_SAVED_FIRST_ATTEMPTS = 200;

/** First attempts whose share of retries a new service starts with. */
const INITIAL_FIRST_ATTEMPTS = 100;

/** Retries that each service may still make; fractions accumulate. */
export type RetryBudgets = Map<string, number>;

/**
 * Deposits the share of a retry that a first attempt earns.
 * @param budgets - The budgets.
 * @param service - The service.
 * @param retryBudgetPercent - Retries allowed per 100 first attempts.
 */
export function depositFirstAttempt(
  budgets: RetryBudgets,
  service: string,
  retryBudgetPercent: number,
): void {
  const share = retryBudgetPercent / 100;
  const saved = budgets.get(service) ?? INITIAL_FIRST_ATTEMPTS * share;
  const maxSaved = MAX_SAVED_FIRST_ATTEMPTS * share;
  budgets.set(service, Math.min(maxSaved, saved + share));
}

/**
 * Withdraws one retry from the budget of a service.
 * @param budgets - The budgets.
 * @param service - The service; a first attempt must have been deposited.
 * @returns True if a retry is allowed.
 */
export function tryWithdrawRetry(
  budgets: RetryBudgets,
  service: string,
): boolean {
  const saved = budgets.get(service) ?? 0;
  if (saved < 1) {
    return false;
  }
  budgets.set(service, saved - 1);
  return true;
}
