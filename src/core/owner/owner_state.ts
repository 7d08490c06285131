/** State of the owner role and the views that its modules read. */
import {ConfigLog} from '../config/config_log.js';
import {ServiceTargets} from '../config/routing_table.js';
import {CoreSettings} from '../core_settings.js';
import {hasDrainHint, isLeaving, Membership} from '../spread/membership.js';
import {Attempt, LoadReport} from '../../model/peer.js';
import {Admission, createAdmission, getUsableSlots} from './admission.js';
import {CrashSuspects} from './crash_suspects.js';
import {KeyRecords} from './key_records.js';

/** Time in which a service hears of an upstream that says it drains. */
const DRAIN_HINT_DELAY_MS = 250;

export interface HandOver {
  readonly pendingPeers: Set<string>;
  readonly startedAt: number;
}

export interface Owner {
  readonly admission: Admission;
  readonly keys: KeyRecords;
  /** Attempts that wait for former homes to answer, by attempt. */
  readonly asking: Map<string, SuspendedAttempt>;
  /** The key record of each attempt that waits for one that runs. */
  readonly waiterRecordIds: Map<string, string>;
  /** Proxies that stopped as planned and told us all that they ran. */
  readonly receivedHandOvers: Map<string, ReceivedHandOver>;
  /** A planned stop of this VM has begun. */
  draining: boolean;
  /** Since when the upstream says that it drains, in Unix milliseconds. */
  drainHintSince?: number;
  crashCount: number;
  /** Dispatches up to this number belong to the last crash or an older one. */
  crashedDispatchNumber: number;
  /** Until then nothing is dispatched, in Unix milliseconds. */
  pausedUntil: number;
  handOver?: HandOver;
  drained: boolean;
}

export interface SuspendedAttempt {
  readonly attempt: Attempt;
  readonly deadlineAt: number;
  /** Its entry went away. */
  cancelled: boolean;
}

/** What a stopped home told; it covers the keys of which we are the heir. */
export interface ReceivedHandOver {
  /** Start of the process that stopped, in Unix milliseconds. */
  readonly incarnation: number;
  /** Upstreams among which its keys were shared out. */
  readonly heirs: readonly string[];
}

/** What the owner reads from the other parts. */
export interface OwnerView {
  readonly settings: CoreSettings;
  readonly log: ConfigLog;
  readonly membership: Membership;
  readonly suspects: CrashSuspects;
  readonly ready: boolean;
  readonly at: number;
}

export function createOwner(): Owner {
  return {
    admission: createAdmission(),
    keys: new Map(),
    asking: new Map(),
    waiterRecordIds: new Map(),
    receivedHandOvers: new Map(),
    draining: false,
    crashCount: 0,
    crashedDispatchNumber: 0,
    pausedUntil: 0,
    drained: false,
  };
}

/**
 * Tells whether the upstream takes no new work, by any news.
 * @param owner - This part's state.
 * @param view - Read-only views of the other parts.
 * @returns True where it is leaving.
 */
export function isOwnerLeaving(owner: Owner, view: OwnerView): boolean {
  return (
    owner.draining ||
    acceptsDrainHint(owner, view) ||
    isLeaving(view.membership, view.settings.id)
  );
}

/**
 * Tells whether the upstream's own word that it drains is believed. Health
 * endpoints mislead, so together they may not empty more than half of a
 * service: the first ones by name are believed. The word is told to the
 * service first, so that all have heard who else claims to drain.
 */
function acceptsDrainHint(owner: Owner, view: OwnerView): boolean {
  const {drainHintSince} = owner;
  const {membership, settings, at} = view;
  if (
    drainHintSince === undefined ||
    at < drainHintSince + DRAIN_HINT_DELAY_MS
  ) {
    return false;
  }
  const ids = getOwnService(view)?.upstreamIds ?? [];
  const precedingIds = ids.filter(
    id =>
      id !== settings.id &&
      (hasDrainHint(membership, id)
        ? id < settings.id
        : isLeaving(membership, id)),
  );
  return precedingIds.length < Math.floor(ids.length / 2);
}

/**
 * Gets the service that the upstream beside this proxy belongs to.
 * @param view - Read-only views of the other parts.
 * @returns The service, or undefined where the configuration does not name
 *     the upstream.
 */
export function getOwnService(view: OwnerView): ServiceTargets | undefined {
  const {table} = view.log;
  const own = table.upstreams.get(view.settings.id);
  return own === undefined ? undefined : table.services.get(own.service);
}

export function getLoadReport(owner: Owner, view: OwnerView): LoadReport {
  const service = getOwnService(view);
  return {
    running: owner.admission.running.size,
    queued: owner.admission.queue.length,
    slots:
      service === undefined
        ? 0
        : getUsableSlots(owner.admission, service, view.at),
    leaving: isOwnerLeaving(owner, view),
    serviceTimeMs: owner.admission.serviceTimeMs,
  };
}
