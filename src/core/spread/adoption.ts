/**
 * Decides when a folded state is put in force. A state that a ready proxy of
 * this region already has in force is adopted at once. A state that comes from
 * outside the region (the source or a proxy of another region) is first
 * announced to the region's witnesses in two rounds, and adopted once a
 * majority has acknowledged it: a proxy that restarts asks the witnesses and so
 * cannot become ready at an older state. spec/restart.pml models the protocol.
 */
import {FoldState} from '../../model/fold_state.js';
import {PeerReply} from '../../model/peer.js';
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

/** Time after which an unacknowledged announcement is sent again. */
const ANNOUNCE_RETRY_MS = 250;

/**
 * Time after which an announcement without a majority is replaced by one for a
 * newer state. Longer than two round trips: with a shorter time, a burst of
 * changes could restart the announcement again and again and none would finish.
 */
const RETARGET_MS = 1_000;

/** An adoption that waits for the witnesses to confirm it. */
interface PendingAdoption {
  readonly target: FoldState;
  /** The witnesses of each state passed; a majority of each set confirms. */
  readonly witnessSets: readonly (readonly Witness[])[];
  /** Incarnation of each witness that acknowledged the first round. */
  readonly acknowledged: Map<string, number>;
  /** Witnesses that acknowledged both rounds in the same incarnation. */
  readonly confirmed: Set<string>;
  round: 1 | 2;
  /** When the first message is sent, in Unix milliseconds. */
  readonly startsAt: number;
  /** When the announcement of this round was last sent; -Infinity if never. */
  lastSentAt: number;
}

/** State of the adoption of folded states, and of this proxy as a witness. */
export interface Adoption {
  pending?: PendingAdoption;
  /**
   * Highest sequence announced to this proxy or seen in force, which it reports
   * as a witness.
   */
  heardSequence: number;
  /** Highest sequence known to have been in force in this region. */
  confirmedSequence: number;
}

/** Read-only inputs of the adoption decision. */
export interface AdoptionView {
  readonly log: ConfigLog;
  readonly settings: CoreSettings;
  readonly membership: Membership;
  readonly at: number;
  /**
   * Gets the delay in milliseconds before this proxy announces a sequence. It
   * differs between watchers, so that usually only one of them announces.
   */
  getAnnounceDelay(sequence: number): number;
}

export function createAdoption(): Adoption {
  return {heardSequence: 0, confirmedSequence: 0};
}

/** Records, as a witness, that this proxy has heard of a sequence. */
export function recordHeardSequence(
  adoption: Adoption,
  sequence: number,
): void {
  adoption.heardSequence = Math.max(adoption.heardSequence, sequence);
}

/**
 * Records that a ready proxy of this region has had a sequence in force.
 * @param adoption - The adoption state, which is updated.
 * @param sequence - The sequence.
 */
export function recordConfirmedSequence(
  adoption: Adoption,
  sequence: number,
): void {
  adoption.confirmedSequence = Math.max(adoption.confirmedSequence, sequence);
  recordHeardSequence(adoption, sequence);
}

/**
 * Finds the newest folded state that may be adopted without an announcement.
 * @param adoption - The adoption state.
 * @param log - The submission log.
 * @returns The state, or undefined if no such state is newer than the one in
 *     force.
 */
export function findConfirmedState(
  adoption: Adoption,
  log: ConfigLog,
): FoldState | undefined {
  return log.pendingStates.findLast(
    ({sequence}) => sequence <= adoption.confirmedSequence,
  );
}

/**
 * Adopts the newest confirmed state and announces the newest state to the
 * witnesses if it is not confirmed yet.
 * @param adoption - The adoption state, which is updated.
 * @param view - The inputs of the decision.
 * @param emit - Receives the effects.
 */
export function advanceAdoption(
  adoption: Adoption,
  view: AdoptionView,
  emit: Emit,
): void {
  const {log, at} = view;
  const confirmed = findConfirmedState(adoption, log);
  if (confirmed !== undefined) {
    adopt(adoption, view, confirmed, emit);
  }
  if (log.latest.sequence === log.active.sequence) {
    adoption.pending = undefined;
    return;
  }
  if (adoption.pending === undefined || isOutdated(adoption.pending, view)) {
    adoption.pending = createPendingAdoption(view);
  }
  const {pending} = adoption;
  if (tryConfirm(adoption, view, emit) || at < pending.startsAt) {
    return;
  }
  announceToWitnesses(pending, view, emit);
}

/** Adopts a state and ends a pending adoption that it makes obsolete. */
function adopt(
  adoption: Adoption,
  {log, at}: AdoptionView,
  state: FoldState,
  emit: Emit,
): void {
  adoptState(log, state, at, emit);
  recordHeardSequence(adoption, state.sequence);
  const {pending} = adoption;
  if (pending !== undefined && pending.target.sequence <= state.sequence) {
    adoption.pending = undefined;
  }
}

/** Reports whether a pending adoption should be replaced by a newer one. */
function isOutdated(pending: PendingAdoption, view: AdoptionView): boolean {
  return (
    pending.target.sequence < view.log.latest.sequence &&
    view.at - pending.startsAt >= RETARGET_MS
  );
}

function createPendingAdoption(view: AdoptionView): PendingAdoption {
  const {log, settings, at} = view;
  // A restarted proxy may receive any of the intermediate states and asks the
  // witnesses of the one that it received, so all these sets must confirm.
  const traversed = [log.active, ...log.pendingStates.slice(0, -1)];
  const upstreams = new Set(traversed.map(({config}) => config.upstreams));
  return {
    target: log.latest,
    witnessSets: [...upstreams].map(named =>
      getWitnesses(settings.region, named),
    ),
    acknowledged: new Map(),
    confirmed: new Set(),
    round: 1,
    startsAt: at + view.getAnnounceDelay(log.latest.sequence),
    lastSentAt: -Infinity,
  };
}

function announceToWitnesses(
  pending: PendingAdoption,
  {settings, at}: AdoptionView,
  emit: Emit,
): void {
  if (at - pending.lastSentAt < ANNOUNCE_RETRY_MS) {
    return;
  }
  pending.lastSentAt = at;
  const {round, target} = pending;
  const {sequence} = target;
  const request = {kind: 'announce', sequence, round} as const;
  const answered = round === 1 ? pending.acknowledged : pending.confirmed;
  const unanswered = pending.witnessSets
    .flat()
    .filter(({id}) => !answered.has(id));
  for (const address of new Set(unanswered.map(w => w.peerAddress))) {
    if (address !== settings.peerAddress) {
      emit({kind: 'askPeer', address, request});
    }
  }
}

/**
 * Records that a witness acknowledged an announcement of this proxy.
 * @param adoption - The adoption state, which is updated.
 * @param address - The witness's peer address.
 * @param request - The announcement that the witness acknowledged.
 * @param incarnation - Start time of the witness, in Unix milliseconds.
 */
export function recordAcknowledgement(
  adoption: Adoption,
  address: string,
  request: {readonly sequence: number; readonly round: 1 | 2},
  incarnation: number,
): void {
  const {pending} = adoption;
  if (pending?.target.sequence !== request.sequence) {
    return;
  }
  for (const {id, peerAddress} of pending.witnessSets.flat()) {
    if (peerAddress !== address) {
      continue;
    }
    const known = pending.acknowledged.get(id);
    if (request.round === 2 && known === incarnation) {
      pending.confirmed.add(id);
    } else if (known !== incarnation) {
      // The witness restarted and forgot the first round, so it starts over.
      pending.acknowledged.set(id, incarnation);
      pending.confirmed.delete(id);
    }
  }
}

/**
 * Starts the second round when a majority has acknowledged the first, and
 * adopts the target when a majority has acknowledged the second. Returns
 * whether the target was adopted.
 */
function tryConfirm(
  adoption: Adoption,
  view: AdoptionView,
  emit: Emit,
): boolean {
  const {pending} = adoption;
  if (pending === undefined) {
    return false;
  }
  const own = view.settings.id;
  const answered =
    pending.round === 1
      ? new Set([own, ...pending.acknowledged.keys()])
      : new Set([own, ...pending.confirmed]);
  const newest = view.log.latest.config;
  const hasAllMajorities = pending.witnessSets.every(set =>
    hasMajority(
      dropLostWitnesses(set, newest, view.membership, view.at),
      answered,
    ),
  );
  if (!hasAllMajorities) {
    return false;
  }
  if (pending.round === 1) {
    pending.round = 2;
    pending.lastSentAt = -Infinity;
    return tryConfirm(adoption, view, emit);
  }
  recordConfirmedSequence(adoption, pending.target.sequence);
  adopt(adoption, view, pending.target, emit);
  // Submissions that arrived meanwhile need their own announcement.
  advanceAdoption(adoption, view, emit);
  return true;
}

/**
 * Handles an announcement as a witness: remembers the sequence and
 * acknowledges it.
 * @param adoption - The adoption state, which is updated.
 * @param sequence - The announced sequence.
 * @param incarnation - Start time of this process, in Unix milliseconds.
 * @returns The acknowledgement.
 */
export function handleAnnouncement(
  adoption: Adoption,
  sequence: number,
  incarnation: number,
): PeerReply {
  recordHeardSequence(adoption, sequence);
  return {kind: 'announce', incarnation};
}
