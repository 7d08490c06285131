/**
 * Pushes updates along a tree of the proxies of each zone. The order of the
 * tree is derived from the content of the message, and every proxy must derive
 * the same order. A message therefore carries one kind of update only: a proxy
 * that already knew part of a mixed message would forward the rest along
 * another tree.
 */
import {RoutingTable} from '../config/routing_table.js';
import {CoreSettings} from '../core_settings.js';
import {rankByRendezvous} from '../hashing.js';
import {PeerRequest} from '../../model/peer.js';
import {assertNever, Emit} from '../types.js';

export type Push = Extract<PeerRequest, {kind: 'push'}>;

/** The update that one push carries. */
export type PushUpdate =
  | {readonly kind: 'submissions'; readonly payload: Push['submissions']}
  | {
      readonly kind: 'vmChanges';
      readonly payload: NonNullable<Push['vmChanges']>;
    }
  | {readonly kind: 'members'; readonly payload: NonNullable<Push['members']>};

/** Results of `getProxiesByZone`. */
const zoneCache = new WeakMap<RoutingTable, Map<string, string[]>>();

/**
 * Groups the proxies of a routing table by zone.
 * @param table - The routing table.
 * @returns Identifiers of the proxies by zone.
 */
export function getProxiesByZone(
  table: RoutingTable,
): ReadonlyMap<string, readonly string[]> {
  let zones = zoneCache.get(table);
  if (zones === undefined) {
    zones = new Map();
    for (const {id, zone} of table.upstreams.values()) {
      const members = zones.get(zone) ?? [];
      members.push(id);
      zones.set(zone, members);
    }
    zoneCache.set(table, zones);
  }
  return zones;
}

/**
 * Pushes an update to this proxy's children in its zone's tree.
 * @param table - The routing table, which lists the proxies.
 * @param settings - This proxy's settings.
 * @param update - The update, which was new to this proxy.
 * @param fromOutsideTree - True if this proxy did not receive the update along
 *     the tree; then it is also sent to the root.
 * @param emit - Receives the effects.
 */
export function pushToChildren(
  table: RoutingTable,
  settings: CoreSettings,
  update: PushUpdate,
  fromOutsideTree: boolean,
  emit: Emit,
): void {
  const request = createPushRequest(update);
  const order = getTreeOrder(table, settings.zone, getTreeSubject(request));
  const own = order.indexOf(settings.id);
  const targets = getChildren(settings, order, own);
  if (fromOutsideTree && own !== 0) {
    targets.push(...order.slice(0, 1));
  }
  sendPush(table, settings, targets, request, emit);
}

/**
 * Pushes an update that originates at this proxy to the root of every zone's
 * tree and to this proxy's own children.
 * @param table - The routing table, which lists the proxies.
 * @param settings - This proxy's settings.
 * @param update - The update.
 * @param emit - Receives the effects.
 * @param region - If given, only zones of this region are included.
 */
export function pushToAllZones(
  table: RoutingTable,
  settings: CoreSettings,
  update: PushUpdate,
  emit: Emit,
  region?: string,
): void {
  const request = createPushRequest(update);
  const subject = getTreeSubject(request);
  const zones = getProxiesByZone(table);
  const targetZones = [...zones.keys()].filter(zone => {
    const [first] = zones.get(zone) ?? [];
    return (
      region === undefined || table.upstreams.get(first)?.region === region
    );
  });
  const targets = targetZones.flatMap(zone => {
    const order = getTreeOrder(table, zone, subject);
    const own = order.indexOf(settings.id);
    // This proxy does not forward the update when it comes back along the tree,
    // because it is not new then, so its own children receive it now.
    const children = getChildren(settings, order, own);
    return own === 0 ? children : [...order.slice(0, 1), ...children];
  });
  sendPush(table, settings, targets, request, emit);
}

/**
 * Handles a push that failed: sends it to the children of the unreachable
 * proxy, and once more to the proxy itself, because only the message may have
 * been lost. A push that failed twice is dropped.
 * @param table - The routing table, which lists the proxies.
 * @param settings - This proxy's settings.
 * @param address - The unreachable proxy's peer address.
 * @param request - The push that failed.
 * @param emit - Receives the effects.
 */
export function rerouteFailedPush(
  table: RoutingTable,
  settings: CoreSettings,
  address: string,
  request: Push,
  emit: Emit,
): void {
  const unreachable = [...table.upstreams.values()].find(
    ({peerAddress}) => peerAddress === address,
  );
  if (unreachable === undefined || request.isRetry === true) {
    return;
  }
  const order = getTreeOrder(table, unreachable.zone, getTreeSubject(request));
  const children = getChildren(settings, order, order.indexOf(unreachable.id));
  sendPush(table, settings, children, request, emit);
  emit({kind: 'askPeer', address, request: {...request, isRetry: true}});
}

function createPushRequest(update: PushUpdate): Push {
  switch (update.kind) {
    case 'submissions':
      return {kind: 'push', submissions: update.payload};
    case 'vmChanges':
      return {kind: 'push', submissions: [], vmChanges: update.payload};
    case 'members':
      return {kind: 'push', submissions: [], members: update.payload};
    default:
      return assertNever(update);
  }
}

/** Gets the string from which the order of the tree is derived. */
function getTreeSubject({submissions, vmChanges, members}: Push): string {
  const last = submissions[submissions.length - 1];
  const member = members?.[0];
  return [
    'push',
    last?.sequence ?? 0,
    vmChanges?.revision ?? 0,
    member?.id ?? '',
    member?.incarnation ?? 0,
  ].join(' ');
}

/**
 * Gets the proxies of a zone in the order of the tree, a heap with `fanOut`
 * children per node: the first is the root, and the children of the proxy at
 * index i start at index i * fanOut + 1.
 */
function getTreeOrder(
  table: RoutingTable,
  zone: string,
  subject: string,
): string[] {
  return rankByRendezvous(subject, getProxiesByZone(table).get(zone) ?? []);
}

function getChildren(
  settings: CoreSettings,
  order: readonly string[],
  index: number,
): string[] {
  const {fanOut} = settings.dissemination;
  const first = index * fanOut + 1;
  return index < 0 ? [] : order.slice(first, first + fanOut);
}

function sendPush(
  table: RoutingTable,
  settings: CoreSettings,
  targets: readonly string[],
  request: Push,
  emit: Emit,
): void {
  for (const id of new Set(targets)) {
    const target = table.upstreams.get(id);
    if (target !== undefined && id !== settings.id) {
      emit({kind: 'askPeer', address: target.peerAddress, request});
    }
  }
}
