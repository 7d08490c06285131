/**
 * Decides when a starting proxy may serve calls. A proxy keeps no state across
 * restarts, so it must first catch up with every version that it may have had
 * in force before. spec/restart.pml models the protocol.
 */
import {Config} from '../../model/config.js';
import {FoldState} from '../../model/fold_state.js';
import {PeerReply} from '../../model/peer.js';
import {ConfigLog} from '../config/config_log.js';
import {CoreSettings} from '../core_settings.js';
import {Emit} from '../types.js';
import {Adoption, findConfirmedState} from './adoption.js';
import {Membership} from './membership.js';
import {
  dropLostWitnesses,
  getAdditionalPeers,
  getWitnesses,
  hasMajority,
  Witness,
} from './witnesses.js';

/**
 * Delay before join requests are sent again. It doubles with each round after
 * the first `MAX_JOIN_FAILURES`, up to `JOIN_RETRY_MAX_MS`.
 */
const JOIN_RETRY_MS = 200;
const MAX_JOIN_RETRY_MS = 1_600;

/** Failed join requests after which a peer no longer delays the start. */
const MAX_JOIN_FAILURES = 3;

/** Rounds after which the snapshot of starting witnesses is taken again. */
const MAX_SNAPSHOT_AGE_ROUNDS = 3;

type JoinReply = Extract<PeerReply, {kind: 'join'}>;

/**
 * The peers that were starting in one round. A peer that is still starting in a
 * later round, in the same incarnation, was starting during the whole time in
 * between. So all peers for which this holds were starting at the same time.
 */
interface StartingSnapshot {
  readonly round: number;
  /** Incarnation of each starting peer by its address. */
  readonly incarnations: ReadonlyMap<string, number>;
}

/** Progress of the start of this proxy. */
export interface Startup {
  ready: boolean;
  sourceAnswered: boolean;
  /** Whether a call of the source has failed. */
  sourceFailed: boolean;
  /** Latest reply to a join request by peer address. */
  readonly replies: Map<string, JoinReply>;
  /** Failed join requests by peer address, since the last reply. */
  readonly failures: Map<string, number>;
  /** Number of rounds of join requests so far. */
  rounds: number;
  /** The round of each peer's latest reply, by peer address. */
  readonly replyRounds: Map<string, number>;
  /** Set while a majority of the witnesses reports that it is starting. */
  startingSnapshot?: StartingSnapshot;
  lastSentAt: number;
  /**
   * Peers that are asked in addition to the witnesses, once a majority of the
   * witnesses has restarted and lost its state.
   */
  additionalPeers: readonly Witness[];
}

/** Read-only inputs of the startup decision. */
export interface StartupView {
  readonly log: ConfigLog;
  readonly adoption: Adoption;
  readonly settings: CoreSettings;
  readonly membership: Membership;
  readonly at: number;
}

export function createStartup(): Startup {
  return {
    ready: false,
    sourceAnswered: false,
    sourceFailed: false,
    replies: new Map(),
    failures: new Map(),
    rounds: 0,
    replyRounds: new Map(),
    lastSentAt: -Infinity,
    additionalPeers: [],
  };
}

/**
 * Asks seeds and witnesses which sequence they have in force and which they
 * have heard of. Does nothing until the retry delay has passed.
 * @param startup - Progress of the start, which is updated.
 * @param view - The inputs of the decision.
 * @param emit - Receives the effects.
 */
export function sendJoinRequests(
  startup: Startup,
  view: StartupView,
  emit: Emit,
): void {
  const retryDelayMs = Math.min(
    MAX_JOIN_RETRY_MS,
    JOIN_RETRY_MS * 2 ** Math.max(0, startup.rounds - MAX_JOIN_FAILURES),
  );
  if (view.at - startup.lastSentAt < retryDelayMs) {
    return;
  }
  startup.lastSentAt = view.at;
  startup.rounds += 1;
  const {id} = view.settings;
  const request = {kind: 'join', id, round: startup.rounds} as const;
  for (const address of getJoinAddresses(startup, view)) {
    emit({kind: 'askPeer', address, request});
  }
}

/** Gets the addresses of the peers to which join requests are sent. */
function getJoinAddresses(
  startup: Startup,
  {log, adoption, settings}: StartupView,
): Set<string> {
  const states = [findConfirmedState(adoption, log) ?? log.latest, log.latest];
  const witnesses = states.flatMap(({config}) =>
    getWitnesses(settings.region, config.upstreams),
  );
  const addresses = [...witnesses, ...startup.additionalPeers].map(
    ({peerAddress}) => peerAddress,
  );
  const all = new Set([...settings.seeds, ...addresses]);
  all.delete(settings.peerAddress);
  return all;
}

/** Records a peer's reply, unless a reply of a later round is known. */
export function recordJoinReply(
  startup: Startup,
  address: string,
  reply: JoinReply,
  round: number,
): void {
  if (round < (startup.replyRounds.get(address) ?? 0)) {
    return;
  }
  startup.replies.set(address, reply);
  startup.replyRounds.set(address, round);
  startup.failures.delete(address);
}

/** Records that a join request to a peer failed. */
export function recordJoinFailure(startup: Startup, address: string): void {
  startup.failures.set(address, (startup.failures.get(address) ?? 0) + 1);
}

/**
 * Gets the sequence that a starting proxy must reach before it serves calls:
 * the highest that any ready peer has in force or that any peer of its region
 * has heard of.
 * @param startup - Progress of the start.
 * @param settings - This proxy's settings.
 * @returns The sequence.
 */
export function getRequiredSequence(
  startup: Startup,
  settings: CoreSettings,
): number {
  let required = 0;
  for (const {ready, region, sequence, heard} of startup.replies.values()) {
    required = Math.max(
      required,
      ready ? sequence : 0,
      region === settings.region ? heard : 0,
    );
  }
  return required;
}

/**
 * Chooses a ready peer that is ahead, from which a starting proxy can pull.
 * @param startup - Progress of the start.
 * @param sequence - The sequence that the peer must exceed.
 * @param entropy - Random 32-bit integer.
 * @returns The peer's address, or undefined if no peer is ahead.
 */
export function findPeerAhead(
  startup: Startup,
  sequence: number,
  entropy: number,
): string | undefined {
  const ahead = [...startup.replies]
    .filter(([, reply]) => reply.ready && reply.sequence > sequence)
    .map(([address]) => address);
  return ahead[entropy % ahead.length];
}

/**
 * Finds the state with which a starting proxy may begin to serve calls.
 * @param startup - Progress of the start, which is updated.
 * @param view - The inputs of the decision.
 * @returns The state, or undefined while the proxy may have had a newer state
 *     in force before its restart.
 */
export function findStartState(
  startup: Startup,
  view: StartupView,
): FoldState | undefined {
  const {log, adoption, settings} = view;
  if (!haveAllAnsweredOrFailed(startup, getJoinAddresses(startup, view))) {
    return undefined;
  }
  const required = getRequiredSequence(startup, settings);
  const confirmed = findConfirmedState(adoption, log);
  if (
    confirmed !== undefined &&
    confirmed.sequence >= required &&
    hasWitnessMajority(startup, view, confirmed.config, reply => reply.ready)
  ) {
    return confirmed;
  }
  return log.latest.sequence >= required && mayColdStart(startup, view)
    ? log.latest
    : undefined;
}

/**
 * Reports whether the proxy may start with the newest state that it knows,
 * without confirmation by the witnesses. This is allowed if a majority of the
 * region's witnesses is starting too, and so has lost its state; the source has
 * answered, or failed while some peer is ready; and all additional peers have
 * answered or failed, a majority of them with an answer.
 */
function mayColdStart(startup: Startup, view: StartupView): boolean {
  const anyReady = [...startup.replies.values()].some(reply => reply.ready);
  if (!anyReady && !startup.sourceAnswered) {
    return false;
  }
  const {config} = view.log.latest;
  if (!areWitnessesStarting(startup, view, config)) {
    return false;
  }
  startup.additionalPeers = getAdditionalPeers(view.settings.id, config);
  const counted = excludeLost(startup.additionalPeers, view);
  const answered = getMatchingPeers(startup, counted, () => true);
  // A ready peer may lag, so its reply does not replace the source's answer.
  const sourceAnsweredOrFailed = startup.sourceAnswered || startup.sourceFailed;
  return (
    sourceAnsweredOrFailed &&
    haveAllAnsweredOrFailed(startup, getJoinAddresses(startup, view)) &&
    hasMajority(counted, answered)
  );
}

/**
 * Reports whether a majority of the witnesses was starting at the same time.
 * One round cannot show this, because its replies are of different times; two
 * rounds can, see `StartingSnapshot`.
 */
function areWitnessesStarting(
  startup: Startup,
  view: StartupView,
  config: Config,
): boolean {
  const own = view.settings.id;
  const isStarting = (reply: JoinReply) => !reply.ready;
  if (!hasWitnessMajority(startup, view, config, isStarting, own)) {
    startup.startingSnapshot = undefined;
    return false;
  }
  const first = startup.startingSnapshot;
  if (
    first === undefined ||
    startup.rounds > first.round + MAX_SNAPSHOT_AGE_ROUNDS
  ) {
    startup.startingSnapshot = takeStartingSnapshot(startup);
    return false;
  }
  const isStillStarting = (reply: JoinReply, address: string) =>
    !reply.ready &&
    (startup.replyRounds.get(address) ?? 0) > first.round &&
    first.incarnations.get(address) === reply.incarnation;
  return hasWitnessMajority(startup, view, config, isStillStarting, own);
}

function takeStartingSnapshot(startup: Startup): StartingSnapshot {
  const starting = [...startup.replies].filter(([, reply]) => !reply.ready);
  return {
    round: startup.rounds,
    incarnations: new Map(
      starting.map(([address, {incarnation}]) => [address, incarnation]),
    ),
  };
}

/**
 * Reports whether the witnesses whose reply matches, together with some
 * additional proxies, are a majority of the region's witnesses.
 */
function hasWitnessMajority(
  startup: Startup,
  view: StartupView,
  config: Config,
  matches: (reply: JoinReply, address: string) => boolean,
  ...additionalIds: readonly string[]
): boolean {
  const witnesses = getWitnesses(view.settings.region, config.upstreams);
  const counted = excludeLost(witnesses, view);
  const answered = getMatchingPeers(startup, counted, matches);
  return hasMajority(counted, new Set([...answered, ...additionalIds]));
}

function excludeLost(
  witnesses: readonly Witness[],
  {log, membership, at}: StartupView,
): readonly Witness[] {
  return dropLostWitnesses(witnesses, log.latest.config, membership, at);
}

/** Reports whether every peer has answered or has failed too often. */
function haveAllAnsweredOrFailed(
  startup: Startup,
  addresses: ReadonlySet<string>,
): boolean {
  return [...addresses].every(
    address =>
      startup.replies.has(address) ||
      (startup.failures.get(address) ?? 0) >= MAX_JOIN_FAILURES,
  );
}

/** Gets the identifiers of the peers whose latest reply matches. */
function getMatchingPeers(
  startup: Startup,
  peers: readonly Witness[],
  counts: (reply: JoinReply, address: string) => boolean,
): Set<string> {
  const answered = peers.filter(({peerAddress}) => {
    const reply = startup.replies.get(peerAddress);
    return reply !== undefined && counts(reply, peerAddress);
  });
  return new Set(answered.map(({id}) => id));
}
