/**
 * Decides when a starting proxy, which remembers nothing, has caught up with
 * every version that it may have held before its restart.
 */
import {ConfigLog} from '../config/config_log.js';
import {CoreSettings} from '../core_settings.js';
import {PeerReply} from '../../model/peer.js';
import {Emit} from '../types.js';
import {Membership} from './membership.js';
import {
  dropLostWitnesses,
  getWiderCircle,
  getWitnesses,
  hasMajority,
  MAX_WITNESSES,
  Witness,
} from './witnesses.js';
import {GOSSIPS_PER_WITNESS} from './dissemination.js';

const JOIN_RETRY_MS = 200;

/** Failed tries after which a silent peer no longer delays the start. */
const MAX_JOIN_FAILURES = 3;

type JoinReply = Extract<PeerReply, {kind: 'join'}>;

export interface Startup {
  ready: boolean;
  sourceAnswered: boolean;
  readonly replies: Map<string, JoinReply>;
  readonly failures: Map<string, number>;
  askedAt: number;
  /** Asked as well once too few witnesses remember; empty before. */
  widerCircle: readonly Witness[];
}

export function createStartup(): Startup {
  return {
    ready: false,
    sourceAnswered: false,
    replies: new Map(),
    failures: new Map(),
    askedAt: -Infinity,
    widerCircle: [],
  };
}

/**
 * Asks seeds and witnesses that have not answered yet.
 * @param startup - Progress of the start.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes effects.
 */
export function askToJoin(
  startup: Startup,
  log: ConfigLog,
  settings: CoreSettings,
  at: number,
  emit: Emit,
): void {
  if (at - startup.askedAt < JOIN_RETRY_MS) {
    return;
  }
  startup.askedAt = at;
  for (const address of getJoinAddresses(startup, log, settings)) {
    const reply = startup.replies.get(address);
    // A peer that was itself starting may have become ready since.
    if (reply?.ready !== true || !isRemembering(reply, settings)) {
      const request = {kind: 'join', id: settings.id} as const;
      emit({kind: 'askPeer', address, request});
    }
  }
}

/**
 * Tells whether an answer says all that its sender was ever told: it knows the
 * asking proxy, or has run long enough for each proxy to have told it again
 * what its predecessor knew.
 */
function isRemembering(reply: JoinReply, settings: CoreSettings): boolean {
  const {gossipIntervalMs} = settings.dissemination;
  // Gossip comes at most one and a half intervals apart.
  const retoldAfterMs =
    1.5 * gossipIntervalMs * GOSSIPS_PER_WITNESS * MAX_WITNESSES;
  return reply.floor > 0 || reply.upMs >= retoldAfterMs;
}

function getJoinAddresses(
  startup: Startup,
  log: ConfigLog,
  settings: CoreSettings,
): Set<string> {
  const witnesses = getWitnesses(
    settings.id,
    settings.region,
    log.latest.config,
  );
  const addresses = [
    ...settings.seeds,
    ...witnesses.map(({peerAddress}) => peerAddress),
    ...startup.widerCircle.map(({peerAddress}) => peerAddress),
  ];
  return new Set(addresses.filter(a => a !== settings.peerAddress));
}

export function recordJoinReply(
  startup: Startup,
  address: string,
  reply: JoinReply,
): void {
  startup.replies.set(address, reply);
  startup.failures.delete(address);
}

export function recordJoinFailure(startup: Startup, address: string): void {
  startup.failures.set(address, (startup.failures.get(address) ?? 0) + 1);
}

/**
 * Gets the sequence that a starting proxy must reach before it serves.
 * @param startup - Progress of the start.
 * @returns The highest floor and the highest sequence of a ready peer.
 */
export function getRequiredSequence(startup: Startup): number {
  let required = 0;
  for (const {floor, ready, sequence} of startup.replies.values()) {
    required = Math.max(required, floor, ready ? sequence : 0);
  }
  return required;
}

/**
 * Finds a peer that is ahead, so that a starting proxy can pull from it.
 * @param startup - Progress of the start.
 * @param sequence - The last sequence that this proxy has folded.
 * @param anyPeer - Peers that do not serve yet may be chosen as well.
 * @param entropy - Random 32-bit integer.
 * @returns The peer's address, or undefined where none is ahead.
 */
export function findPeerAhead(
  startup: Startup,
  sequence: number,
  anyPeer: boolean,
  entropy: number,
): string | undefined {
  const ahead = [...startup.replies]
    .filter(
      ([, reply]) => reply.sequence > sequence && (anyPeer || reply.ready),
    )
    .map(([address]) => address);
  return ahead[entropy % ahead.length];
}

/**
 * Tells whether the latest folded state may be put in force after a start.
 * @param startup - Progress of the start.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param membership - Tells which witnesses are lost.
 * @param at - Now, in Unix milliseconds.
 * @returns True where no version held before the restart can be newer.
 */
export function hasCaughtUp(
  startup: Startup,
  log: ConfigLog,
  settings: CoreSettings,
  membership: Membership,
  at: number,
): boolean {
  const anyReady = [...startup.replies.values()].some(reply => reply.ready);
  if (!anyReady && !startup.sourceAnswered) {
    return false;
  }
  if (getRequiredSequence(startup) > log.latest.sequence) {
    return false;
  }
  if (!haveAllSettled(startup, getJoinAddresses(startup, log, settings))) {
    return false;
  }
  const {config} = log.latest;
  const counted = dropLostWitnesses(
    getWitnesses(settings.id, settings.region, config),
    config,
    membership,
    at,
  );
  if (
    !hasMajority(
      counted,
      getAnswered(startup, counted, () => true),
    )
  ) {
    return false;
  }
  const isKeeper = (reply: JoinReply) => isRemembering(reply, settings);
  if (hasMajority(counted, getAnswered(startup, counted, isKeeper))) {
    return true;
  }
  return hasAskedWiderCircle(startup, log, settings, membership, at);
}

/**
 * Witnesses that have lost their memory say nothing of versions held, so more
 * peers are asked: one that serves tells how far the fleet has come.
 */
function hasAskedWiderCircle(
  startup: Startup,
  log: ConfigLog,
  settings: CoreSettings,
  membership: Membership,
  at: number,
): boolean {
  const {config} = log.latest;
  startup.widerCircle = getWiderCircle(settings.id, config);
  if (!haveAllSettled(startup, getJoinAddresses(startup, log, settings))) {
    return false;
  }
  const counted = dropLostWitnesses(
    startup.widerCircle,
    config,
    membership,
    at,
  );
  return hasMajority(
    counted,
    getAnswered(startup, counted, () => true),
  );
}

function haveAllSettled(
  startup: Startup,
  addresses: ReadonlySet<string>,
): boolean {
  return [...addresses].every(
    address =>
      startup.replies.has(address) ||
      (startup.failures.get(address) ?? 0) >= MAX_JOIN_FAILURES,
  );
}

function getAnswered(
  startup: Startup,
  peers: readonly Witness[],
  counts: (reply: JoinReply) => boolean,
): Set<string> {
  const answered = peers.filter(({peerAddress}) => {
    const reply = startup.replies.get(peerAddress);
    return reply !== undefined && counts(reply);
  });
  return new Set(answered.map(({id}) => id));
}
