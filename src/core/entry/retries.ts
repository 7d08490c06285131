/** Decides whether a failed attempt is retried. */
import {RefusalReason} from '../refusals.js';
import {Emit} from '../types.js';
import {chooseTarget} from './attempts.js';
import {Call} from './calls.js';
import {Entry, EntryView, MIN_ATTEMPT_MS} from './entry_state.js';
import {getOrCreateLoad, isPresumedHealthy} from './load_view.js';
import {tryWithdrawRetry} from './retry_budget.js';

/**
 * Failures that occur at most once for each request that an upstream was
 * running, because the upstream is avoided afterwards. Their retries cannot
 * cause a retry storm, so a crash or shutdown does not use up the budget.
 */
const BOUNDED_FAILURES: ReadonlySet<string> = new Set<RefusalReason>([
  'upstream_down',
  'attempt_lost',
]);

/**
 * Decides whether a call may be retried, and withdraws the retry from the
 * budget unless its reason exempts it.
 */
export function tryReserveRetry(
  entry: Entry,
  view: EntryView,
  call: Call,
  reason: RefusalReason | 'upstream_shed' | 'closed',
  emit: Emit,
): boolean {
  // Nothing ran, so a retry by an inner layer does not multiply work.
  const isRetryableByAnyLayer = reason === 'upstream_leaving';
  const inTime = call.deadlineAt - view.at >= MIN_ATTEMPT_MS;
  if ((call.info.retriedByOuter && !isRetryableByAnyLayer) || !inTime) {
    return false;
  }
  const target = chooseTarget(entry, view, call);
  if (target === undefined) {
    return false;
  }
  const isHealthy = isPresumedHealthy(
    getOrCreateLoad(entry.loads, target.id),
    view.at,
  );
  const isFree =
    isRetryableByAnyLayer || (isHealthy && BOUNDED_FAILURES.has(reason));
  if (!isFree && !tryWithdrawRetry(entry.budgets, call.route.service)) {
    emit({kind: 'count', counter: 'call_retried', reason: 'no_budget'});
    return false;
  }
  emit({kind: 'count', counter: 'call_retried', reason});
  return true;
}
