/** State of the owner role, and the view that its modules read. */
import {ConfigLog} from '../config/config_log.js';
import {ServiceTargets} from '../config/routing_table.js';
import {CoreSettings} from '../core_settings.js';
import {hasDrainHint, isLeaving, Membership} from '../spread/membership.js';
import {Attempt, LoadReport} from '../../model/peer.js';
import {Admission, createAdmission, getUsableSlots} from './admission.js';
import {CrashSuspects} from './crash_suspects.js';
import {KeyRecords} from './key_records.js';

/**
 * Time from a drain hint until it takes effect, in which the service's other
 * proxies learn of it.
 */
const DRAIN_HINT_DELAY_MS = 250;

/** A hand-over of this proxy's keys that is in progress. */
export interface HandOver {
  /** Addresses of the peers that have neither replied nor failed. */
  readonly pendingPeers: Set<string>;
  /** Unix milliseconds. */
  readonly startedAt: number;
}

/** State of the owner role. */
export interface Owner {
  readonly admission: Admission;
  readonly keys: KeyRecords;
  /** Attempts that wait for replies of former key holders, by identifier. */
  readonly asking: Map<string, SuspendedAttempt>;
  /** Record identifier by attempt, for attempts that wait for a running one. */
  readonly waiterRecordIds: Map<string, string>;
  /** Hand-overs by the upstream identifier of the proxy that shut down. */
  readonly receivedHandOvers: Map<string, ReceivedHandOver>;
  /** A graceful shutdown of this VM has begun. */
  draining: boolean;
  /** When the upstream began to report that it drains, in Unix milliseconds. */
  drainHintSince?: number;
  crashCount: number;
  /** Number of the last dispatch before the last crash was noticed. */
  crashedDispatchNumber: number;
  /** New attempts are refused until this time, in Unix milliseconds. */
  pausedUntil: number;
  handOver?: HandOver;
  drained: boolean;
}

/** An attempt that waits for replies of former key holders. */
export interface SuspendedAttempt {
  readonly attempt: Attempt;
  readonly deadlineAt: number;
  /** The entry has cancelled it. */
  cancelled: boolean;
}

/**
 * A hand-over from a proxy that shut down. It covers those keys of which this
 * proxy is the heir.
 */
export interface ReceivedHandOver {
  /** Start time of the process that stopped, in Unix milliseconds. */
  readonly incarnation: number;
  /** Upstreams among which its keys were divided. */
  readonly heirs: readonly string[];
}

/** State of the other modules that the owner reads. */
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
 * Reports whether the upstream accepts no new work, because this proxy drains,
 * the upstream's drain hint is accepted, or the upstream is marked as leaving.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @returns True if the upstream is leaving.
 */
export function isOwnerLeaving(owner: Owner, view: OwnerView): boolean {
  return (
    owner.draining ||
    acceptsDrainHint(owner, view) ||
    isLeaving(view.membership, view.settings.id)
  );
}

/**
 * Reports whether the upstream's own drain hint is accepted. Health endpoints
 * may mislead, so hints may take at most half of a service's upstreams out of
 * use, and upstreams whose identifiers sort first have precedence. A hint takes
 * effect after a delay, in which the proxies learn of each other's hints.
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
 * Gets the service of this proxy's upstream.
 * @param view - Read-only state of the other modules.
 * @returns The service, or undefined if the configuration does not list the
 *     upstream.
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
