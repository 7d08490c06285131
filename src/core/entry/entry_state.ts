/** State of the entry role and the views that its modules read. */
import {RoutingTable} from '../config/routing_table.js';
import {CoreSettings} from '../core_settings.js';
import {Membership} from '../spread/membership.js';
import {Calls, createCalls} from './calls.js';
import {LoadView} from './load_view.js';
import {RetryBudgets} from './retry_budget.js';

export interface Entry {
  readonly calls: Calls;
  readonly loads: LoadView;
  readonly budgets: RetryBudgets;
}

/** What the entry reads from the other parts. */
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

/** Least time in which an attempt has a chance to finish. */
export const MIN_ATTEMPT_MS = 2;

/** Wait that a caller is advised where nothing better is known. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;
