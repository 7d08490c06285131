/**
 * Spreads submissions and membership news between proxies: push along a tree
 * in each zone, gossip with one peer each interval, pull from whoever is ahead.
 */
import {Submission} from '../../model/config.js';
import {VmList} from '../../model/platform.js';
import {compareDigest, ConfigLog} from '../config/config_log.js';
import {CoreSettings} from '../core_settings.js';
import {rankByRendezvous} from '../hashing.js';
import {MemberInfo, PeerRequest} from '../../model/peer.js';
import {Emit} from '../types.js';
import {getNews, Membership, mergeMember} from './membership.js';
import {getWitnesses} from './witnesses.js';

export interface Dissemination {
  /** Counts this proxy's own heartbeats. */
  heartbeat: number;
  nextGossipAt: number;
  /** Address of the peer that a pull is waiting for. */
  pullingFrom?: string;
}

export function createDissemination(): Dissemination {
  return {heartbeat: 0, nextGossipAt: 0};
}

/**
 * Pushes news to this proxy's children in its zone's tree.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param submissions - Submissions that were new here, in order.
 * @param vmList - The VM list where it was new here.
 * @param isRoot - This proxy got the news from outside the tree.
 * @param emit - Takes effects.
 */
export function pushNews(
  log: ConfigLog,
  settings: CoreSettings,
  submissions: readonly Submission[],
  vmList: VmList | undefined,
  isRoot: boolean,
  emit: Emit,
): void {
  const request: PeerRequest = {kind: 'push', submissions, vmList};
  const subject = getTreeSubject(request);
  const order = getTreeOrder(log, settings.zone, subject);
  const own = order.indexOf(settings.id);
  const addresses = getChildAddresses(log, settings, order, own);
  if (isRoot && order.length > 0 && own !== 0) {
    addresses.add(log.table.upstreams.get(order[0])?.peerAddress ?? '');
  }
  addresses.delete('');
  addresses.delete(settings.peerAddress);
  for (const address of addresses) {
    emit({kind: 'askPeer', address, request});
  }
}

/**
 * Takes over the children of a proxy that a push could not reach.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param address - The unreachable proxy's peer address.
 * @param request - The push that failed.
 * @param emit - Takes effects.
 */
export function pushAround(
  log: ConfigLog,
  settings: CoreSettings,
  address: string,
  request: Extract<PeerRequest, {kind: 'push'}>,
  emit: Emit,
): void {
  const order = getTreeOrder(log, settings.zone, getTreeSubject(request));
  const lost = order.findIndex(
    id => log.table.upstreams.get(id)?.peerAddress === address,
  );
  if (lost < 0) {
    return;
  }
  const children = getChildAddresses(log, settings, order, lost);
  children.delete(settings.peerAddress);
  for (const child of children) {
    emit({kind: 'askPeer', address: child, request});
  }
}

function getTreeSubject(request: Extract<PeerRequest, {kind: 'push'}>): string {
  const last = request.submissions[request.submissions.length - 1];
  return `push ${last?.sequence ?? 0} ${request.vmList?.revision ?? 0}`;
}

function getTreeOrder(log: ConfigLog, zone: string, subject: string): string[] {
  const members: string[] = [];
  for (const upstream of log.table.upstreams.values()) {
    if (upstream.zone === zone) {
      members.push(upstream.id);
    }
  }
  return rankByRendezvous(subject, members);
}

function getChildAddresses(
  log: ConfigLog,
  settings: CoreSettings,
  order: readonly string[],
  index: number,
): Set<string> {
  const addresses = new Set<string>();
  if (index < 0) {
    return addresses;
  }
  const {fanOut} = settings.dissemination;
  const first = index * fanOut + 1;
  for (const id of order.slice(first, first + fanOut)) {
    const target = log.table.upstreams.get(id);
    if (target !== undefined) {
      addresses.add(target.peerAddress);
    }
  }
  return addresses;
}

/**
 * Chooses the peer of the next gossip exchange: mostly a random proxy, every
 * third time a witness, so that a restarted witness learns the floor again.
 * @param spread - This part's state.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param entropy - Random 32-bit integer.
 * @returns A peer address, or undefined where this proxy knows no other.
 */
export function chooseGossipPeer(
  spread: Dissemination,
  log: ConfigLog,
  settings: CoreSettings,
  entropy: number,
): string | undefined {
  const witnesses = getWitnesses(
    settings.id,
    settings.region,
    log.latest.config,
  );
  if (spread.heartbeat % 3 === 0 && witnesses.length > 0) {
    return witnesses[entropy % witnesses.length].peerAddress;
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
  const {id, zone, region, peerAddress, startedAt: incarnation} = settings;
  return {
    id,
    zone,
    region,
    peerAddress,
    incarnation,
    heartbeat: spread.heartbeat,
    sequence: log.latest.sequence,
    version: log.active.version,
    digest: log.latest.digest,
    leaving,
    ready,
  };
}

/**
 * Takes in the members that a gossip message describes, compares digests,
 * and asks for what is missing where the sender is ahead.
 * @param spread - This part's state.
 * @param log - The submission log.
 * @param membership - The membership view.
 * @param from - The sender.
 * @param members - Others that it describes.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes effects.
 */
export function mergeGossip(
  spread: Dissemination,
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
  pullIfBehind(spread, log, from.peerAddress, from.sequence, emit);
}

/**
 * Asks a peer for what follows our last sequence, one pull at a time.
 * @param spread - This part's state.
 * @param log - The submission log.
 * @param address - The peer's address.
 * @param sequence - A sequence that the peer has folded.
 * @param emit - Takes effects.
 */
export function pullIfBehind(
  spread: Dissemination,
  log: ConfigLog,
  address: string,
  sequence: number,
  emit: Emit,
): void {
  if (sequence <= log.latest.sequence || spread.pullingFrom !== undefined) {
    return;
  }
  spread.pullingFrom = address;
  const afterSequence = log.latest.sequence;
  emit({kind: 'askPeer', address, request: {kind: 'pull', afterSequence}});
}

/**
 * Builds a gossip request.
 * @param self - This proxy's description.
 * @param membership - The membership view.
 * @param suspects - Crash suspects worth telling.
 * @returns The request.
 */
export function createGossip(
  self: MemberInfo,
  membership: Membership,
  suspects: Extract<PeerRequest, {kind: 'gossip'}>['suspects'],
): PeerRequest {
  return {
    kind: 'gossip',
    from: self,
    members: getNews(membership),
    suspects,
    vmRevision: membership.vmList.revision,
  };
}
