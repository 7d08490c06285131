/**
 * The registered upstreams, as this proxy knows them. Reports may arrive late,
 * twice, or from a process that has ended since, so the reports of an instance
 * are ordered by incarnation, then by registration, then by heartbeat. After a
 * restore of the source, registrations of instances that have left may be back,
 * and registrations of running instances may be missing.
 */
import {FleetUpdate, Instance} from '../../model/mesh.js';
import {
  EvacuationRegisters,
  createEvacuationRegisters,
  isZoneEvacuated,
} from './evacuations.js';
import {
  createLaterChanges,
  recordLaterChanges,
  recordOwnChanges,
} from './later_changes.js';
import {getEra} from './source_position.js';

/**
 * Time for which upstreams whose registrations are missing after an outage or a
 * restore of the source are kept, in milliseconds. The platform specifies that
 * they register again within about two seconds.
 */
export const REREGISTRATION_MS = 2_000;

/** Removed instances that are remembered, to reject their late reports. */
const MAX_TOMBSTONES = 1_000;

/** Instances that are remembered as leaving. */
const MAX_LEAVING = 1_000;

/** Position of a report among those of one instance. */
interface ReportOrder {
  readonly incarnation: number;
  readonly registeredAt: number;
  readonly heartbeat: number;
}

export interface FleetView {
  /** Position of the source up to which all changes are known; 0: none. */
  revision: number;
  readonly instances: Map<string, Instance>;
  /** Changes in `instances` that may be later than `revision`. */
  readonly laterChanges: Map<string, number>;
  /**
   * Instances that a read after an outage no longer listed, with the time at
   * which each is removed unless it registers again.
   */
  readonly missingUntil: Map<string, number>;
  /** The earliest report that shows that a removed instance is running. */
  readonly tombstones: Map<string, ReportOrder>;
  /**
   * Incarnations of instances that have reported in an answer that they are
   * leaving. Kept when an instance is removed: a stale listing may show it again.
   */
  readonly leaving: Map<string, number>;
  readonly evacuations: EvacuationRegisters;
  /** Until when the latest report lets each cold instance be cold, at most. */
  readonly coldUntil: Map<string, number>;
  /** Until this time, an unlisted instance is kept in `missingUntil`. */
  removalsHeldUntil: number;
  /** Latest instance at each address; rebuilt on each change. */
  byAddress: ReadonlyMap<string, Instance>;
  /**
   * Instances of each service that accept new work, without those of evacuated
   * zones; rebuilt on each change. Every choice of an upstream starts from these.
   */
  acceptingByService: ReadonlyMap<string, readonly Instance[]>;
}

export function createFleetView(): FleetView {
  return {
    revision: 0,
    instances: new Map(),
    laterChanges: new Map(),
    missingUntil: new Map(),
    tombstones: new Map(),
    leaving: new Map(),
    evacuations: createEvacuationRegisters(),
    coldUntil: new Map(),
    removalsHeldUntil: 0,
    byAddress: new Map(),
    acceptingByService: new Map(),
  };
}

/** Change of one instance. */
export interface FleetChange {
  readonly id: string;
  readonly kind:
    'added' | 'restarted' | 'draining' | 'cold' | 'changed' | 'removed';
  readonly instance: Instance;
}

/**
 * Compares two reports of one instance. Registrations of different eras cannot
 * be compared, because revisions are given out again after a restore.
 * @returns Negative if the first report is earlier; 0 if they are the same.
 */
function compareReports(first: ReportOrder, second: ReportOrder): number {
  const sameEra = getEra(first.registeredAt) === getEra(second.registeredAt);
  return (
    first.incarnation - second.incarnation ||
    (sameEra ? first.registeredAt - second.registeredAt : 0) ||
    first.heartbeat - second.heartbeat
  );
}

/** Reports whether a report adds nothing to what is known of its instance. */
function isStale(view: FleetView, instance: Instance): boolean {
  const known = view.instances.get(instance.id);
  if (known !== undefined) {
    const order = compareReports(instance, known);
    const endsDrain = known.state === 'draining' && instance.state === 'ready';
    return order < 0 || (order === 0 && endsDrain);
  }
  const removed = view.tombstones.get(instance.id);
  return removed !== undefined && !outlivesRemoval(view, instance, removed);
}

/**
 * Reports whether an instance was reported after its removal. A restored source
 * may list it once more, with a report that is later than the last one known
 * here; only a further report in the same era shows that it is running.
 */
function outlivesRemoval(
  view: FleetView,
  instance: Instance,
  removed: ReportOrder,
): boolean {
  if (getEra(instance.registeredAt) > getEra(removed.registeredAt)) {
    const {incarnation, registeredAt} = instance;
    const heartbeat = instance.heartbeat + 1;
    view.tombstones.set(instance.id, {incarnation, registeredAt, heartbeat});
    return false;
  }
  return compareReports(instance, removed) >= 0;
}

/** Gets the kind of a change, or undefined for a heartbeat alone. */
function classifyChange(known: Instance | undefined, next: Instance) {
  if (known === undefined) {
    return 'added';
  }
  const sameEra = getEra(next.registeredAt) === getEra(known.registeredAt);
  const reregistered = sameEra && next.registeredAt !== known.registeredAt;
  if (next.incarnation !== known.incarnation || reregistered) {
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
 * Applies an update to the view. An update with base 0 lists the whole fleet,
 * so instances that it does not list are removed. One that is older than the
 * view changes nothing.
 * @param view - The view.
 * @param update - The update; its base must not be above the view's revision.
 * @param at - Now, in milliseconds.
 * @returns The changes; a heartbeat alone is none.
 */
export function updateFleetView(
  view: FleetView,
  update: FleetUpdate,
  at: number,
): FleetChange[] {
  if (update.revision < view.revision) {
    return [];
  }
  if (view.revision > 0 && getEra(update.revision) > getEra(view.revision)) {
    view.removalsHeldUntil = at + REREGISTRATION_MS;
  }
  const changes: FleetChange[] = [];
  for (const instance of update.changed) {
    const change = applyInstance(view, instance, at);
    if (change !== undefined) {
      changes.push(change);
    }
  }
  const removed =
    update.base === 0 ? findUnlisted(view, update) : update.removed;
  for (const id of removed) {
    if (at < view.removalsHeldUntil && view.instances.has(id)) {
      view.missingUntil.set(id, view.removalsHeldUntil);
    } else {
      removeInstance(view, id, changes);
    }
  }
  view.revision = update.revision;
  recordLaterChanges(view.laterChanges, update, changes);
  if (changes.length > 0) {
    rebuildIndexes(view);
  }
  return changes;
}

/** Applies one report unless a later one of the instance is known. */
function applyInstance(
  view: FleetView,
  instance: Instance,
  at: number,
): FleetChange | undefined {
  const {id} = instance;
  const known = view.instances.get(id);
  if (isStale(view, instance)) {
    if (known !== undefined) {
      view.missingUntil.delete(id);
    }
    return undefined;
  }
  view.missingUntil.delete(id);
  view.tombstones.delete(id);
  view.instances.set(id, instance);
  const isCold = recordColdTime(view, known, instance, at);
  const kind = classifyChange(known, instance) ?? (isCold ? 'cold' : undefined);
  return kind === undefined ? undefined : {id, kind, instance};
}

/**
 * Records how long an instance is cold at most: what was left when the report was
 * written. Of one cold period, each report states less than the one before.
 * @returns Whether it has turned cold.
 */
function recordColdTime(
  view: FleetView,
  known: Instance | undefined,
  next: Instance,
  at: number,
): boolean {
  const {id, coldMs} = next;
  if (coldMs === 0) {
    view.coldUntil.delete(id);
    return false;
  }
  if (known !== undefined && compareReports(next, known) === 0) {
    return false;
  }
  const wasCold = (view.coldUntil.get(id) ?? -Infinity) > at;
  view.coldUntil.set(id, at + coldMs);
  return !wasCold || coldMs > (known?.coldMs ?? 0);
}

function findUnlisted(view: FleetView, update: FleetUpdate): string[] {
  const listed = new Set(update.changed.map(({id}) => id));
  return [...view.instances.keys()].filter(id => !listed.has(id));
}

/** Removes an instance and leaves a tombstone that rejects late reports. */
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
  view.coldUntil.delete(id);
  const {incarnation, registeredAt, heartbeat} = instance;
  view.tombstones.set(id, {incarnation, registeredAt, heartbeat});
  if (view.tombstones.size > MAX_TOMBSTONES) {
    const [oldest] = view.tombstones.keys();
    view.tombstones.delete(oldest);
  }
  changes.push({id, kind: 'removed', instance});
}

/**
 * Removes the instances that did not register again in time after an outage.
 * @param view - The view.
 * @param at - Now, in milliseconds.
 * @returns The removals.
 */
export function removeExpired(view: FleetView, at: number): FleetChange[] {
  const changes: FleetChange[] = [];
  for (const [id, dueAt] of view.missingUntil) {
    if (dueAt <= at) {
      removeInstance(view, id, changes);
    }
  }
  recordOwnChanges(view.laterChanges, view.revision, changes);
  if (changes.length > 0) {
    rebuildIndexes(view);
  }
  return changes;
}

/**
 * Excludes an instance from new work for the rest of its life, because one of its
 * answers reported that it is leaving.
 * @param view - The view.
 * @param id - The instance.
 * @returns False if this was known.
 */
export function markLeaving(view: FleetView, id: string): boolean {
  const known = view.instances.get(id) ?? view.tombstones.get(id);
  const incarnation = known?.incarnation ?? 0;
  if ((view.leaving.get(id) ?? -Infinity) >= incarnation) {
    return false;
  }
  view.leaving.set(id, incarnation);
  if (view.leaving.size > MAX_LEAVING) {
    const [oldest] = view.leaving.keys();
    view.leaving.delete(oldest);
  }
  rebuildIndexes(view);
  return true;
}

/** Reports whether an instance has reported in an answer that it is leaving. */
export function isLeaving(
  view: FleetView,
  {id, incarnation}: Pick<Instance, 'id' | 'incarnation'>,
): boolean {
  return (view.leaving.get(id) ?? -Infinity) >= incarnation;
}

/** Rebuilds what is derived from instances and evacuations. */
export function rebuildIndexes(view: FleetView): void {
  // Of two instances with one address, the later one has it.
  const byAddress = new Map<string, Instance>();
  for (const instance of view.instances.values()) {
    const other = byAddress.get(instance.address);
    if (other === undefined || isEarlier(other, instance)) {
      byAddress.set(instance.address, instance);
    }
  }
  const accepting = new Map<string, Instance[]>();
  for (const instance of byAddress.values()) {
    if (
      instance.state === 'ready' &&
      !isLeaving(view, instance) &&
      !isZoneEvacuated(view.evacuations, instance.zone)
    ) {
      const instances = accepting.get(instance.service) ?? [];
      instances.push(instance);
      accepting.set(instance.service, instances);
    }
  }
  view.byAddress = byAddress;
  view.acceptingByService = accepting;
}

/**
 * Reports whether one instance started before another; where that is unknown,
 * whether it registered before it.
 */
export function isEarlier(first: Instance, second: Instance): boolean {
  const order =
    first.incarnation - second.incarnation ||
    first.registeredAt - second.registeredAt;
  return order < 0;
}

/**
 * Finds the instance that is registered at an address.
 * @param view - The view.
 * @param address - `IP:port`.
 * @returns The instance that started last, or undefined.
 */
export function findInstanceAt(
  view: FleetView,
  address: string,
): Instance | undefined {
  return view.byAddress.get(address);
}

/**
 * Creates an update that lists the whole view, for a peer that lacks changes.
 * @param view - The view.
 * @returns An update with base 0.
 */
export function createFullUpdate(view: FleetView): FleetUpdate {
  const changed = [...view.instances.values()].filter(
    ({id}) => !view.missingUntil.has(id),
  );
  const later = createLaterChanges(view.laterChanges);
  return {base: 0, revision: view.revision, changed, removed: [], later};
}
