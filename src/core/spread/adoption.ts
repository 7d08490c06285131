/**
 * Announces a sequence to the proxy's witnesses before it is put in force, so
 * that a restarted proxy can learn how far it had come.
 */
import {FoldState} from '../../model/fold_state.js';
import {adoptState, ConfigLog} from '../config/config_log.js';
import {CoreSettings} from '../core_settings.js';
import {Emit} from '../types.js';
import {Membership} from './membership.js';
import {
  dropLostWitnesses,
  getWitnesses,
  hasMajority,
  Witness,
} from './witnesses.js';

/** Time after which an unanswered announcement is sent again. */
const ANNOUNCE_RETRY_MS = 250;

/**
 * Time after which an announcement that lacks a majority gives way to that of
 * a newer state. Above a round trip, so that a burst of changes cannot renew
 * the announcement for ever.
 */
const RETARGET_MS = 1_000;

interface PendingAdoption {
  readonly target: FoldState;
  /** A majority of each set must acknowledge. */
  readonly witnessSets: readonly (readonly Witness[])[];
  readonly acknowledgedBy: Set<string>;
  readonly startedAt: number;
  askedAt: number;
}

export interface Adoption {
  pending?: PendingAdoption;
  /** Highest sequence that each other proxy has announced to this one. */
  readonly floors: Map<string, number>;
}

export function createAdoption(): Adoption {
  return {floors: new Map()};
}

/**
 * Remembers that a proxy is about to put a sequence in force.
 * @param adoption - This proxy's memory.
 * @param id - The other proxy.
 * @param sequence - The sequence that it announced.
 */
export function recordFloor(
  adoption: Adoption,
  id: string,
  sequence: number,
): void {
  const known = adoption.floors.get(id) ?? 0;
  adoption.floors.set(id, Math.max(known, sequence));
}

/**
 * Starts or repeats the announcement of the latest folded state, and adopts
 * it where a majority of witnesses already knows.
 * @param adoption - Progress of the announcement.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param membership - Tells which witnesses are lost.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes effects.
 */
export function advanceAdoption(
  adoption: Adoption,
  log: ConfigLog,
  settings: CoreSettings,
  membership: Membership,
  at: number,
  emit: Emit,
): void {
  if (log.latest.sequence === log.active.sequence) {
    return;
  }
  if (adoption.pending === undefined || isOutdated(adoption.pending, log, at)) {
    adoption.pending = createPending(log, settings, at);
  }
  tryAdopt(adoption, log, settings, membership, at, emit);
  const {pending} = adoption;
  if (pending === undefined || at - pending.askedAt < ANNOUNCE_RETRY_MS) {
    return;
  }
  pending.askedAt = at;
  for (const address of getSilentWitnesses(pending)) {
    const {sequence} = pending.target;
    const request = {kind: 'announce', id: settings.id, sequence} as const;
    emit({kind: 'askPeer', address, request});
  }
}

function isOutdated(
  pending: PendingAdoption,
  log: ConfigLog,
  at: number,
): boolean {
  return (
    pending.target.sequence < log.latest.sequence &&
    at - pending.startedAt >= RETARGET_MS
  );
}

function createPending(
  log: ConfigLog,
  settings: CoreSettings,
  at: number,
): PendingAdoption {
  // Every version on the way counts: a restarted proxy may be given any of
  // them, and asks the witnesses of the one that it was given.
  const passed = [log.active, ...log.steps, log.latest];
  const witnessSets = [...new Set(passed.map(({config}) => config))].map(
    config => getWitnesses(settings.id, settings.region, config),
  );
  return {
    target: log.latest,
    witnessSets,
    acknowledgedBy: new Set(),
    startedAt: at,
    askedAt: -Infinity,
  };
}

function getSilentWitnesses(pending: PendingAdoption): Set<string> {
  const silent = pending.witnessSets
    .flat()
    .filter(({id}) => !pending.acknowledgedBy.has(id));
  return new Set(silent.map(({peerAddress}) => peerAddress));
}

/**
 * Counts a witness's acknowledgement.
 * @param adoption - Progress of the announcement.
 * @param address - The witness's peer address.
 * @param sequence - The sequence that was announced.
 */
export function acknowledgeAnnouncement(
  adoption: Adoption,
  address: string,
  sequence: number,
): void {
  const {pending} = adoption;
  if (pending === undefined || pending.target.sequence !== sequence) {
    return;
  }
  for (const {id, peerAddress} of pending.witnessSets.flat()) {
    if (peerAddress === address) {
      pending.acknowledgedBy.add(id);
    }
  }
}

function tryAdopt(
  adoption: Adoption,
  log: ConfigLog,
  settings: CoreSettings,
  membership: Membership,
  at: number,
  emit: Emit,
): void {
  const {pending} = adoption;
  const newest = log.latest.config;
  const isKnown = pending?.witnessSets.every(set =>
    hasMajority(
      dropLostWitnesses(set, newest, membership, at),
      pending.acknowledgedBy,
    ),
  );
  if (pending === undefined || isKnown !== true) {
    return;
  }
  adoption.pending = undefined;
  adoptState(log, pending.target, at, emit);
  // Submissions that arrived meanwhile need an announcement of their own.
  advanceAdoption(adoption, log, settings, membership, at, emit);
}
