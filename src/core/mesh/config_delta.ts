/**
 * Differences between two configurations. Peers send a change as a difference,
 * because it is small compared with the whole configuration.
 */
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
  // Both are parsed by one schema, so their properties have the same order.
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
 * Computes the difference between two configurations.
 * @param before - The receiver's configuration.
 * @param after - The configuration that it should have.
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
 * @param before - The current configuration, if any.
 * @param delta - The difference.
 * @returns The later configuration, or undefined where `before` is not the
 * version that the difference was computed from.
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
