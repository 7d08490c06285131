/** State of the entry role, and the state of other parts that it reads. */
import {RoutingTable} from '../config/routing_table.js';
import {CoreSettings} from '../core_settings.js';
import {Membership} from '../spread/membership.js';
import {Calls, createCalls} from './calls.js';
import {LoadView} from './load_view.js';
import {RetryBudgets} from './retry_budget.js';

/** State of the entry role. */
export interface Entry {
  readonly calls: Calls;
  readonly loads: LoadView;
  readonly budgets: RetryBudgets;
}

/** State of the other parts of the proxy, as the entry reads it. */
export interface EntryView {
  readonly settings: CoreSettings;
  readonly table: RoutingTable;
  readonly membership: Membership;
  readonly ready: boolean;
  readonly at: number;
  readonly entropy: number;
  isQuarantined(fingerprint: string): boolean;
}

export function createEntry(): Entry {
  return {calls: createCalls(), loads: new Map(), budgets: new Map()};
}

/** Least remaining time with which an attempt is sent. */
export const MIN_ATTEMPT_MS = 2;

/** Retry delay advised to callers if there is no better estimate. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;
