/**
 * Decides when a starting proxy, which remembers nothing, has caught up with
 * every version that it may have held before its restart. The protocol is
 * specified in spec/restart.pml.
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

/** Pause before silent or starting peers are asked again; it doubles. */
const JOIN_RETRY_MS = 200;
const JOIN_RETRY_MAX_MS = 1_600;

/** Failed tries after which a silent peer no longer delays the start. */
const MAX_JOIN_FAILURES = 3;

/** Rounds after which the witnesses' first answers are taken anew. */
const MAX_SNAPSHOT_AGE_ROUNDS = 3;

type JoinReply = Extract<PeerReply, {kind: 'join'}>;

/**
 * Witnesses that were starting in one round. Whoever says so again, in a later
 * round and without a restart, was starting all the time in between, so all
 * of them were at the same time.
 */
interface StartingSnapshot {
  readonly round: number;
  readonly incarnations: ReadonlyMap<string, number>;
}

export interface Startup {
  ready: boolean;
  sourceAnswered: boolean;
  /** The source was asked and could not be reached. */
  sourceFailed: boolean;
  readonly replies: Map<string, JoinReply>;
  readonly failures: Map<string, number>;
  /** Times that the peers have been asked. */
  rounds: number;
  /** The round of each peer's latest reply. */
  readonly replyRounds: Map<string, number>;
  /** Set once a majority of the witnesses has said that it is starting. */
  startingSnapshot?: StartingSnapshot;
  lastSentAt: number;
  /** Asked as well where the witnesses have lost their memory. */
  additionalPeers: readonly Witness[];
}

/** What the decision depends on. */
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
 * Asks seeds and witnesses what they hold and have heard of.
 * @param startup - Progress of the start.
 * @param view - What the decision depends on.
 * @param emit - Takes effects.
 */
export function sendJoinRequests(
  startup: Startup,
  view: StartupView,
  emit: Emit,
): void {
  const retryDelayMs = Math.min(
    JOIN_RETRY_MAX_MS,
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

export function recordJoinFailure(startup: Startup, address: string): void {
  startup.failures.set(address, (startup.failures.get(address) ?? 0) + 1);
}

/**
 * Gets the sequence that a starting proxy must reach before it serves: what
 * any ready peer has in force, and what any peer of its region has heard of.
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
 * Finds a peer that is ahead, so that a starting proxy can pull from it.
 * @param startup - Progress of the start.
 * @param sequence - The last sequence that this proxy has.
 * @param entropy - Random 32-bit integer.
 * @returns The peer's address, or undefined where none is ahead.
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
 * Finds the state at which a starting proxy may begin to serve.
 * @param startup - Progress of the start.
 * @param view - What the decision depends on.
 * @returns The state, or undefined while a version held before the restart
 *     could be newer than any state at hand.
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
 * Tells whether a majority of the region's witnesses has lost its memory, so
 * that they cannot help; then the source decides, and all other peers that
 * this proxy can reach.
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
  // A ready peer may lag, so it does not stand in for a source that is up.
  const sourceSettled = startup.sourceAnswered || startup.sourceFailed;
  return (
    sourceSettled &&
    haveAllAnsweredOrFailed(startup, getJoinAddresses(startup, view)) &&
    hasMajority(counted, answered)
  );
}

/** Asks in two rounds, so that answers of different times do not add up. */
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
