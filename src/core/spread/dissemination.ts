/**
 * Spreads submissions and membership news between proxies: push along a tree
 * in each zone, gossip with one peer each interval, pull from whoever is ahead.
 */
import {ConfigLog} from '../config/config_log.js';
import {compareDigest, getDigestPrefix} from '../config/digests.js';
import {CoreSettings} from '../core_settings.js';
import {MemberInfo, PeerRequest} from '../../model/peer.js';
import {Emit} from '../types.js';
import {Membership, mergeMember, takeMemberUpdates} from './membership.js';

/** One gossip exchange in so many goes to the watcher to look after. */
export const GOSSIPS_PER_WATCHER_PROBE = 3;

/** Time after which a pull that got no answer no longer holds others up. */
const PULL_TIMEOUT_MS = 3_000;

export interface Dissemination {
  /** Counts this proxy's own heartbeats. */
  heartbeat: number;
  /** Counts the exchanges that this proxy began. */
  gossipCount: number;
  nextGossipAt: number;
  /** Address of a peer that is known to have news for us. */
  nextGossipPeer?: string;
  /** The pull that is under way. */
  pendingPull?: {readonly address: string; readonly startedAt: number};
  /** Whether the fleet has been told that this upstream leaves. */
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
 * Chooses the peer of the next gossip exchange: one that has news for us; in
 * turn the watcher that this proxy would replace; mostly a random proxy.
 * @param spread - This part's state.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param probedWatcher - Address of the watcher to look after, if any.
 * @param entropy - Random 32-bit integer.
 * @returns A peer address, or undefined where this proxy knows no other.
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
 * Describes this proxy for its peers.
 * @param spread - This part's state.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param ready - Whether it serves calls.
 * @param leaving - Whether it takes no new work.
 * @returns The description, with a heartbeat of its own.
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
 * Takes in the members that a gossip message describes and compares digests.
 * @param log - The submission log.
 * @param membership - The membership view.
 * @param from - The sender.
 * @param members - Others that it describes.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes effects.
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
 * Asks a peer for what follows our last sequence, one pull at a time. Where we
 * have folded it ourselves, its reply still tells that it is in force there.
 * @param spread - This part's state.
 * @param log - The submission log.
 * @param address - The peer's address.
 * @param sequence - A sequence that the peer has in force.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes effects.
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
 * Notes that a pull was answered or failed.
 * @param spread - This part's state.
 * @param address - The peer that was asked.
 */
export function recordPullEnded(spread: Dissemination, address: string): void {
  if (spread.pendingPull?.address === address) {
    spread.pendingPull = undefined;
  }
}

/**
 * Builds a gossip request.
 * @param self - This proxy's description.
 * @param membership - The membership view.
 * @param suspects - Crash suspects worth telling.
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
