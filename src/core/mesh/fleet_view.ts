/**
 * The upstreams that have registered themselves. News may come late, twice or
 * from a process that has ended since, so each entry is ordered by its
 * incarnation, then by its heartbeat.
 */
import {FleetUpdate, Instance} from '../../model/mesh.js';

/**
 * Time in which upstreams whose entries lapsed during an outage of the source
 * register again, in milliseconds; the platform names about two seconds.
 */
export const REREGISTRATION_MS = 2_000;

/** Entries that have gone are remembered so that old reports stay old. */
const MAX_TOMBSTONES = 1_000;

interface ReportOrder {
  readonly incarnation: number;
  readonly heartbeat: number;
}

export interface FleetView {
  /** Revision of the source up to which everything is known; 0: nothing. */
  revision: number;
  readonly instances: Map<string, Instance>;
  /** Entries missing after an outage, and when they count as gone. */
  readonly missingUntil: Map<string, number>;
  readonly tombstones: Map<string, ReportOrder>;
  /** Until then a missing entry may come back, in milliseconds. */
  removalsHeldUntil: number;
  /** The latest instance at each address; rebuilt on change. */
  byAddress: ReadonlyMap<string, Instance>;
  /** Instances of each service that take new work; rebuilt on change. */
  acceptingByService: ReadonlyMap<string, readonly Instance[]>;
}

export function createFleetView(): FleetView {
  return {
    revision: 0,
    instances: new Map(),
    missingUntil: new Map(),
    tombstones: new Map(),
    removalsHeldUntil: 0,
    byAddress: new Map(),
    acceptingByService: new Map(),
  };
}

/** What one piece of news changed. */
export interface FleetChange {
  readonly id: string;
  readonly kind: 'added' | 'restarted' | 'draining' | 'changed' | 'removed';
  readonly instance: Instance;
}

function isStale(instance: Instance, known: ReportOrder | undefined): boolean {
  if (known === undefined) {
    return false;
  }
  return (
    instance.incarnation < known.incarnation ||
    (instance.incarnation === known.incarnation &&
      instance.heartbeat < known.heartbeat)
  );
}

function classifyChange(known: Instance | undefined, next: Instance) {
  if (known === undefined) {
    return 'added';
  }
  if (next.incarnation !== known.incarnation) {
    return 'restarted';
  }
  if (next.state !== known.state) {
    return next.state === 'draining' ? 'draining' : 'changed';
  }
  const same =
    next.service === known.service &&
    next.address === known.address &&
    next.zone === known.zone &&
    next.slots === known.slots;
  return same ? undefined : 'changed';
}

/**
 * Takes news into the view. The whole list, with base 0, also tells what has
 * gone.
 * @param view - The view.
 * @param news - The news; its base must be known already.
 * @param at - Now, in milliseconds.
 * @returns What changed for those that use the fleet.
 */
export function updateFleetView(
  view: FleetView,
  news: FleetUpdate,
  at: number,
): FleetChange[] {
  const changes: FleetChange[] = [];
  for (const instance of news.changed) {
    const change = applyInstance(view, instance);
    if (change !== undefined) {
      changes.push(change);
    }
  }
  const removed = news.base === 0 ? findUnlisted(view, news) : news.removed;
  for (const id of removed) {
    if (at < view.removalsHeldUntil && view.instances.has(id)) {
      view.missingUntil.set(id, view.removalsHeldUntil);
    } else {
      removeInstance(view, id, changes);
    }
  }
  view.revision = Math.max(view.revision, news.revision);
  if (changes.length > 0) {
    rebuildIndexes(view);
  }
  return changes;
}

function applyInstance(
  view: FleetView,
  instance: Instance,
): FleetChange | undefined {
  const {id} = instance;
  const known = view.instances.get(id);
  if (isStale(instance, known ?? view.tombstones.get(id))) {
    return undefined;
  }
  view.missingUntil.delete(id);
  view.tombstones.delete(id);
  view.instances.set(id, instance);
  const what = classifyChange(known, instance);
  return what === undefined ? undefined : {id, kind: what, instance};
}

function findUnlisted(view: FleetView, news: FleetUpdate): string[] {
  const present = new Set(news.changed.map(({id}) => id));
  return [...view.instances.keys()].filter(id => !present.has(id));
}

function removeInstance(
  view: FleetView,
  id: string,
  changes: FleetChange[],
): void {
  const instance = view.instances.get(id);
  if (instance === undefined) {
    return;
  }
  view.instances.delete(id);
  view.missingUntil.delete(id);
  const {incarnation, heartbeat} = instance;
  view.tombstones.set(id, {incarnation, heartbeat});
  if (view.tombstones.size > MAX_TOMBSTONES) {
    const [oldest] = view.tombstones.keys();
    view.tombstones.delete(oldest);
  }
  changes.push({id, kind: 'removed', instance});
}

/**
 * Removes the entries that have not come back in time after an outage.
 * @param view - The view.
 * @param at - Now, in milliseconds.
 * @returns What was removed.
 */
export function removeExpired(view: FleetView, at: number): FleetChange[] {
  const changes: FleetChange[] = [];
  for (const [id, dueAt] of view.missingUntil) {
    if (dueAt <= at) {
      removeInstance(view, id, changes);
    }
  }
  if (changes.length > 0) {
    rebuildIndexes(view);
  }
  return changes;
}

function rebuildIndexes(view: FleetView): void {
  // Of two entries with one address, the later process has it.
  const byAddress = new Map<string, Instance>();
  for (const instance of view.instances.values()) {
    const other = byAddress.get(instance.address);
    if (other === undefined || other.incarnation < instance.incarnation) {
      byAddress.set(instance.address, instance);
    }
  }
  const taking = new Map<string, Instance[]>();
  for (const instance of byAddress.values()) {
    if (instance.state === 'ready') {
      const peers = taking.get(instance.service) ?? [];
      peers.push(instance);
      taking.set(instance.service, peers);
    }
  }
  view.byAddress = byAddress;
  view.acceptingByService = taking;
}

/**
 * Finds the upstream that has an address now.
 * @param view - The view.
 * @param address - `IP:port`.
 * @returns The latest instance there, or undefined.
 */
export function findInstanceAt(
  view: FleetView,
  address: string,
): Instance | undefined {
  return view.byAddress.get(address);
}

/**
 * Lists the whole view, for a peer that knows nothing.
 * @param view - The view.
 * @returns News with base 0.
 */
export function createFullUpdate(view: FleetView): FleetUpdate {
  const changed = [...view.instances.values()].filter(
    ({id}) => !view.missingUntil.has(id),
  );
  return {base: 0, revision: view.revision, changed, removed: []};
}
