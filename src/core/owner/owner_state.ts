/** State of the owner role and the views that its modules read. */
import {ConfigLog} from '../config/config_log.js';
import {ServiceTargets} from '../config/routing_table.js';
import {CoreSettings} from '../core_settings.js';
import {isLeaving, Membership} from '../spread/membership.js';
import {Attempt, LoadReport} from '../../model/peer.js';
import {Admission, createAdmission, getUsableSlots} from './admission.js';
import {CrashSuspects} from './crash_suspects.js';
import {KeyRecords} from './key_records.js';

export interface HandOver {
  readonly silentPeers: Set<string>;
  readonly startedAt: number;
}

export interface Owner {
  readonly admission: Admission;
  readonly keys: KeyRecords;
  /** Attempts that wait for former homes to answer, by attempt. */
  readonly asking: Map<string, {attempt: Attempt; deadlineAt: number}>;
  /** Proxies that stopped as planned and told us all that they ran. */
  readonly handedOverBy: Set<string>;
  /** A planned stop of this VM has begun. */
  draining: boolean;
  /** The upstream itself says that it drains. */
  upstreamDraining: boolean;
  /** The upstream crashed and has not answered since. */
  crashed: boolean;
  crashCount: number;
  handOver?: HandOver;
  drained: boolean;
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
    handedOverBy: new Set(),
    draining: false,
    upstreamDraining: false,
    crashed: false,
    crashCount: 0,
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
    owner.upstreamDraining ||
    isLeaving(view.membership, view.settings.id)
  );
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
  };
}
