/**
 * Limits retries to a share of first attempts, for each service. Each entry
 * keeps its own account, so what it may save up stays small: many entries
 * that spend their savings at the same moment are a herd.
 */

/** First attempts whose share of retries may be saved up. */
const MAX_SAVED_FIRST_ATTEMPTS = 200;

/** First attempts whose share a service has when it has just been seen. */
const INITIAL_FIRST_ATTEMPTS = 100;

export type RetryBudgets = Map<string, number>;

/**
 * Notes a first attempt, which earns a share of a retry.
 * @param budgets - The budgets.
 * @param service - The service.
 * @param retryBudgetPercent - The share.
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
 * Takes one retry from the budget.
 * @param budgets - The budgets.
 * @param service - The service, of which a first attempt has been noted.
 * @returns True where a retry is allowed.
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
