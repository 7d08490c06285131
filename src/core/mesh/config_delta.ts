/** Differences between two versions, so that a change costs few bytes. */
import {
  ConfigDelta,
  MeshConfig,
  MeshRoute,
  MeshService,
} from '../../model/mesh.js';

function indexByName<T extends {readonly name: string}>(
  entries: readonly T[],
): Map<string, T> {
  return new Map(entries.map(entry => [entry.name, entry]));
}

function findChanged<T extends {readonly name: string}>(
  before: readonly T[],
  after: readonly T[],
): T[] {
  const old = indexByName(before);
  // Both come from one schema, so their members stand in the same order.
  return after.filter(
    entry => JSON.stringify(old.get(entry.name)) !== JSON.stringify(entry),
  );
}

function findRemoved<T extends {readonly name: string}>(
  before: readonly T[],
  after: readonly T[],
): string[] {
  const kept = new Set(after.map(({name}) => name));
  return before.map(({name}) => name).filter(name => !kept.has(name));
}

function applyEntries<T extends {readonly name: string}>(
  before: readonly T[],
  changed: readonly T[],
  removed: readonly string[],
): T[] {
  const entries = indexByName(before);
  removed.forEach(name => entries.delete(name));
  changed.forEach(entry => entries.set(entry.name, entry));
  return [...entries.values()];
}

/**
 * Finds what turns one version into another.
 * @param before - The version that the receiver holds.
 * @param after - The version that it should hold.
 * @returns The difference.
 */
export function createConfigDelta(
  before: MeshConfig,
  after: MeshConfig,
): ConfigDelta {
  return {
    base: before.version,
    version: after.version,
    routes: findChanged<MeshRoute>(before.routes, after.routes),
    removedRoutes: findRemoved(before.routes, after.routes),
    services: findChanged<MeshService>(before.services, after.services),
    removedServices: findRemoved(before.services, after.services),
    limits: after.limits,
  };
}

/**
 * Applies a difference.
 * @param before - The version that it was made for.
 * @param delta - The difference.
 * @returns The later version, or undefined where the base is another one.
 */
export function tryApplyConfigDelta(
  before: MeshConfig | undefined,
  delta: ConfigDelta,
): MeshConfig | undefined {
  if (before === undefined || before.version !== delta.base) {
    return undefined;
  }
  return {
    version: delta.version,
    routes: applyEntries(before.routes, delta.routes, delta.removedRoutes),
    services: applyEntries(
      before.services,
      delta.services,
      delta.removedServices,
    ),
    limits: delta.limits,
  };
}
