/**
 * Gossip and pull between proxies. Once per interval a proxy exchanges
 * membership changes and digests with one peer, and pulls the submissions that
 * it lacks from a peer that is ahead.
 */
import {ConfigLog} from '../config/config_log.js';
import {compareDigest, getDigestPrefix} from '../config/digests.js';
import {CoreSettings} from '../core_settings.js';
import {MemberInfo, PeerRequest} from '../../model/peer.js';
import {Emit} from '../types.js';
import {Membership, mergeMember, takeMemberUpdates} from './membership.js';

/** One in this many gossip exchanges probes a watcher. */
export const GOSSIPS_PER_WATCHER_PROBE = 3;

/** Time after which an unanswered pull no longer blocks the next one. */
const PULL_TIMEOUT_MS = 3_000;

/** State of this proxy's gossip and pulls. */
export interface Dissemination {
  /** Last heartbeat number of this proxy. */
  heartbeat: number;
  /** Number of gossip exchanges that this proxy started. */
  gossipCount: number;
  nextGossipAt: number;
  /** Address of a peer that is known to have a newer VM list. */
  nextGossipPeer?: string;
  /** The pull that awaits its answer. */
  pendingPull?: {readonly address: string; readonly startedAt: number};
  /** Whether this proxy last broadcast its upstream as leaving. */
  announcedLeaving: boolean;
}

export function createDissemination(): Dissemination {
  return {
    heartbeat: 0,
    gossipCount: 0,
    nextGossipAt: 0,
    announcedLeaving: false,
  };
}

/**
 * Chooses the peer of the next gossip exchange: a peer that is known to have a
 * newer VM list; regularly the watcher to be probed; otherwise a random proxy
 * or seed.
 * @param spread - The dissemination state, which is updated.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param probedWatcher - Address of the watcher to probe, if any.
 * @param entropy - Random 32-bit integer.
 * @returns A peer address, or undefined if this proxy knows no other.
 */
export function chooseGossipPeer(
  spread: Dissemination,
  log: ConfigLog,
  settings: CoreSettings,
  probedWatcher: string | undefined,
  entropy: number,
): string | undefined {
  const turn = spread.gossipCount;
  spread.gossipCount += 1;
  const {nextGossipPeer} = spread;
  spread.nextGossipPeer = undefined;
  if (nextGossipPeer !== undefined) {
    return nextGossipPeer;
  }
  if (turn % GOSSIPS_PER_WATCHER_PROBE === 0 && probedWatcher !== undefined) {
    return probedWatcher;
  }
  const addresses = Object.values(log.latest.config.upstreams)
    .map(({peerAddress}) => peerAddress)
    .concat(settings.seeds)
    .filter(address => address !== settings.peerAddress);
  return addresses.length === 0
    ? undefined
    : addresses[entropy % addresses.length];
}

/**
 * Describes this proxy for its peers and increments its heartbeat.
 * @param spread - The dissemination state, which is updated.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param ready - Whether it serves calls.
 * @param leaving - Whether it accepts no new requests.
 * @returns The description, with a new heartbeat.
 */
export function describeSelf(
  spread: Dissemination,
  log: ConfigLog,
  settings: CoreSettings,
  ready: boolean,
  leaving: boolean,
): MemberInfo {
  spread.heartbeat += 1;
  const {id, peerAddress, startedAt: incarnation} = settings;
  return {
    id,
    peerAddress,
    incarnation,
    heartbeat: spread.heartbeat,
    sequence: log.active.sequence,
    version: log.active.version,
    digest: getDigestPrefix(log, log.active.sequence) ?? '',
    leaving,
    ready,
  };
}

/**
 * Applies the members of a gossip message to the membership view and compares
 * the sender's digest with ours.
 * @param log - The submission log.
 * @param membership - The membership view, which is updated.
 * @param from - The sender.
 * @param members - Other members that the message describes.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Receives the effects.
 */
export function applyGossip(
  log: ConfigLog,
  membership: Membership,
  from: MemberInfo,
  members: readonly MemberInfo[],
  at: number,
  emit: Emit,
): void {
  for (const info of [from, ...members]) {
    mergeMember(membership, info, at, emit);
  }
  compareDigest(log, from.id, from.sequence, from.digest, emit);
}

/**
 * Pulls the submissions after our last folded sequence from a peer, unless
 * another pull is pending. The pull is also sent if we have folded the peer's
 * sequence already but do not have it in force, because the reply confirms that
 * the peer has it in force.
 * @param spread - The dissemination state, which is updated.
 * @param log - The submission log.
 * @param address - The peer's address.
 * @param sequence - A sequence that the peer has in force.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Receives the effects.
 */
export function pullIfBehind(
  spread: Dissemination,
  log: ConfigLog,
  address: string,
  sequence: number,
  at: number,
  emit: Emit,
): void {
  const {pendingPull} = spread;
  const isPulling =
    pendingPull !== undefined && at - pendingPull.startedAt < PULL_TIMEOUT_MS;
  if (sequence <= log.active.sequence || isPulling) {
    return;
  }
  spread.pendingPull = {address, startedAt: at};
  const afterSequence = log.latest.sequence;
  const digest = getDigestPrefix(log, afterSequence);
  const request = {kind: 'pull', afterSequence, digest} as const;
  emit({kind: 'askPeer', address, request});
}

/**
 * Records that a pull was answered or failed.
 * @param spread - The dissemination state, which is updated.
 * @param address - The peer that the pull was sent to.
 */
export function recordPullEnded(spread: Dissemination, address: string): void {
  if (spread.pendingPull?.address === address) {
    spread.pendingPull = undefined;
  }
}

/**
 * Creates a gossip request. Each member update that it includes counts as one
 * transmission of that update.
 * @param self - This proxy's description.
 * @param membership - The membership view, which is updated.
 * @param suspects - Crash suspects to include.
 * @returns The request.
 */
export function createGossipRequest(
  self: MemberInfo,
  membership: Membership,
  suspects: Extract<PeerRequest, {kind: 'gossip'}>['suspects'],
): PeerRequest {
  return {
    kind: 'gossip',
    from: self,
    members: takeMemberUpdates(membership),
    suspects,
    vmRevision: membership.vmList.revision,
  };
}
