/**
 * Announces a sequence to the proxy's witnesses before it is put in force, so
 * that a restarted proxy can learn how far it had come.
 */
import {FoldState} from '../../model/fold_state.js';
import {adoptState, ConfigLog} from '../config/config_log.js';
import {CoreSettings} from '../core_settings.js';
import {Emit} from '../types.js';
import {getWitnesses, hasMajority, Witness} from './witnesses.js';

/** Time after which an unanswered announcement is sent again. */
const ANNOUNCE_RETRY_MS = 250;

interface PendingAdoption {
  readonly target: FoldState;
  /** A majority of each set must acknowledge. */
  readonly witnessSets: readonly (readonly Witness[])[];
  readonly acknowledgedBy: Set<string>;
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
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes effects.
 */
export function advanceAdoption(
  adoption: Adoption,
  log: ConfigLog,
  settings: CoreSettings,
  at: number,
  emit: Emit,
): void {
  if (log.latest.sequence === log.active.sequence) {
    return;
  }
  if (adoption.pending === undefined) {
    adoption.pending = createPending(log, settings);
    tryAdopt(adoption, log, settings, at, emit);
  }
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

function createPending(
  log: ConfigLog,
  settings: CoreSettings,
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
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param address - The witness's peer address.
 * @param sequence - The sequence that was announced.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes effects.
 */
export function acknowledgeAnnouncement(
  adoption: Adoption,
  log: ConfigLog,
  settings: CoreSettings,
  address: string,
  sequence: number,
  at: number,
  emit: Emit,
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
  tryAdopt(adoption, log, settings, at, emit);
}

function tryAdopt(
  adoption: Adoption,
  log: ConfigLog,
  settings: CoreSettings,
  at: number,
  emit: Emit,
): void {
  const {pending} = adoption;
  if (
    pending === undefined ||
    !pending.witnessSets.every(set => hasMajority(set, pending.acknowledgedBy))
  ) {
    return;
  }
  adoption.pending = undefined;
  adoptState(log, pending.target, at, emit);
  // Submissions that arrived meanwhile need an announcement of their own.
  advanceAdoption(adoption, log, settings, at, emit);
}
