/**
 * Decides when a folded state is put in force. A state that some proxy of the
 * region has in force may be taken at once. One that comes from outside, from
 * the source or another region, is first announced to the region's witnesses,
 * so that no restarted proxy can become ready at an older one unnoticed. The
 * protocol is specified in spec/restart.pml.
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

/** Time after which an unanswered announcement is sent again. */
const ANNOUNCE_RETRY_MS = 250;

/**
 * Time after which an announcement that lacks a majority gives way to that of
 * a newer state. Above two round trips, so that a burst of changes cannot
 * renew the announcement for ever.
 */
const RETARGET_MS = 1_000;

interface PendingAdoption {
  readonly target: FoldState;
  /** A majority of each set must confirm. */
  readonly witnessSets: readonly (readonly Witness[])[];
  /** Start times of the witnesses that acknowledged the first round. */
  readonly acknowledged: Map<string, number>;
  /** Witnesses that acknowledged both rounds without a restart between. */
  readonly confirmed: Set<string>;
  round: 1 | 2;
  readonly startsAt: number;
  lastSentAt: number;
}

export interface Adoption {
  pending?: PendingAdoption;
  /** Highest sequence that this proxy, as a witness, has heard of. */
  heardSequence: number;
  /** Highest sequence that a ready proxy of this region has had in force. */
  confirmedSequence: number;
}

/** What the decision depends on. */
export interface AdoptionView {
  readonly log: ConfigLog;
  readonly settings: CoreSettings;
  readonly membership: Membership;
  readonly at: number;
  /** Delay of an announcement, so that watchers do not all announce. */
  getAnnounceDelay(sequence: number): number;
}

export function createAdoption(): Adoption {
  return {heardSequence: 0, confirmedSequence: 0};
}

export function recordHeardSequence(
  adoption: Adoption,
  sequence: number,
): void {
  adoption.heardSequence = Math.max(adoption.heardSequence, sequence);
}

/**
 * Notes that a ready proxy of this region has had a sequence in force.
 * @param adoption - This part's state.
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
 * Finds the newest folded state that a proxy of this region has had in force.
 * @param adoption - This part's state.
 * @param log - The submission log.
 * @returns The state, or undefined where none is newer than the one in force.
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
 * Puts in force what may be, and announces the rest.
 * @param adoption - This part's state.
 * @param view - What the decision depends on.
 * @param emit - Takes effects.
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

function isOutdated(pending: PendingAdoption, view: AdoptionView): boolean {
  return (
    pending.target.sequence < view.log.latest.sequence &&
    view.at - pending.startsAt >= RETARGET_MS
  );
}

function createPendingAdoption(view: AdoptionView): PendingAdoption {
  const {log, settings, at} = view;
  // Every version on the way counts: a restarted proxy may be given any of
  // them, and asks the witnesses of the one that it was given.
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
 * Counts a witness's acknowledgement.
 * @param adoption - This part's state.
 * @param address - The witness's peer address.
 * @param request - The announcement that it answers.
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
      // It restarted since the first round, so it has to be asked again.
      pending.acknowledged.set(id, incarnation);
      pending.confirmed.delete(id);
    }
  }
}

/** Goes on to the second round, or puts the target in force after it. */
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
  const isEnough = pending.witnessSets.every(set =>
    hasMajority(
      dropLostWitnesses(set, newest, view.membership, view.at),
      answered,
    ),
  );
  if (!isEnough) {
    return false;
  }
  if (pending.round === 1) {
    pending.round = 2;
    pending.lastSentAt = -Infinity;
    return tryConfirm(adoption, view, emit);
  }
  recordConfirmedSequence(adoption, pending.target.sequence);
  adopt(adoption, view, pending.target, emit);
  // Submissions that arrived meanwhile need an announcement of their own.
  advanceAdoption(adoption, view, emit);
  return true;
}

/**
 * Answers an announcement, as a witness.
 * @param adoption - This part's state.
 * @param sequence - The announced sequence.
 * @param incarnation - Start time of this process, in Unix milliseconds.
 * @returns The reply.
 */
export function handleAnnouncement(
  adoption: Adoption,
  sequence: number,
  incarnation: number,
): PeerReply {
  recordHeardSequence(adoption, sequence);
  return {kind: 'announce', incarnation};
}
