/**
 * Pushes news along a tree in each zone. Each message carries one kind of
 * news, because the tree's order is drawn from what the message carries: a
 * proxy that already knew half of it must pass the rest on in the same order.
 */
import {RoutingTable} from '../config/routing_table.js';
import {CoreSettings} from '../core_settings.js';
import {rankByRendezvous} from '../hashing.js';
import {PeerRequest} from '../../model/peer.js';
import {assertNever, Emit} from '../types.js';

export type Push = Extract<PeerRequest, {kind: 'push'}>;

/** What one push carries. */
export type PushUpdate =
  | {readonly kind: 'submissions'; readonly payload: Push['submissions']}
  | {
      readonly kind: 'vmChanges';
      readonly payload: NonNullable<Push['vmChanges']>;
    }
  | {readonly kind: 'members'; readonly payload: NonNullable<Push['members']>};

/** Identifiers of each zone's proxies, by the table that names them. */
const zoneCache = new WeakMap<RoutingTable, Map<string, string[]>>();

/**
 * Groups the proxies of a version by zone.
 * @param table - The routing table.
 * @returns Identifiers by zone.
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
 * Pushes news to this proxy's children in its zone's tree.
 * @param table - Names the proxies.
 * @param settings - This proxy's settings.
 * @param update - What was new here.
 * @param fromOutsideTree - This proxy got the news from outside the tree.
 * @param emit - Takes effects.
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
 * Pushes news that starts here to the head of every zone's tree.
 * @param table - Names the proxies.
 * @param settings - This proxy's settings.
 * @param update - What was new here.
 * @param emit - Takes effects.
 * @param region - Leaves out zones of other regions, where given.
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
    // What comes back along the tree is not new here, so this proxy's own
    // children get it now.
    const children = getChildren(settings, order, own);
    return own === 0 ? children : [...order.slice(0, 1), ...children];
  });
  sendPush(table, settings, targets, request, emit);
}

/**
 * Takes over the children of a proxy that a push could not reach, and tries
 * the proxy itself once more, because it may only have lost the message.
 * @param table - Names the proxies.
 * @param settings - This proxy's settings.
 * @param address - The unreachable proxy's peer address.
 * @param request - The push that failed.
 * @param emit - Takes effects.
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
