/**
 * What a proxy believes of the configuration and the fleet. Versions only go
 * up, and one is adopted whole or not at all; each change is recorded with
 * where it came from.
 */
import {FleetUpdate, MeshConfig} from '../../model/mesh.js';
import {FleetChange, updateFleetView} from './fleet_view.js';
import {MeshState, getOwnInstance} from './mesh_state.js';
import {MeshEmit} from './mesh_types.js';
import {createMeshRouteTable} from './route_table.js';

/** Ages above this one say no more than that it is long ago. */
const MAX_SENT_AGE_MS = 1e9;

/** Age of what is known of the fleet, in milliseconds. */
export function getKnowledgeAgeMs(
  state: MeshState,
  at: number,
): number | undefined {
  const ageMs = at - state.sourceReads.freshAt;
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** Age of the knowledge of the fleet, bounded for messages. */
export function getBoundedKnowledgeAgeMs(state: MeshState, at: number): number {
  const ageMs = at - state.sourceReads.freshAt;
  return Math.max(0, Math.min(ageMs, MAX_SENT_AGE_MS));
}

/** Applies fleet news and records each change that it made. */
export function applyFleetUpdate(
  state: MeshState,
  news: FleetUpdate,
  at: number,
  from: string,
  emit: MeshEmit,
): FleetChange[] {
  const changes = updateFleetView(state.fleet, news, at);
  recordFleetChanges(state, changes, at, from, emit);
  return changes;
}

export function recordFleetChanges(
  state: MeshState,
  changes: readonly FleetChange[],
  at: number,
  from: string,
  emit: MeshEmit,
): void {
  for (const {id, kind: what, instance} of changes) {
    if (what === 'removed' || what === 'restarted') {
      state.loads.delete(id);
    }
    if (instance.address === state.settings.upstreamAddress) {
      handleOwnInstanceChange(state, id, emit);
    }
    emit({kind: 'count', counter: 'instance_changed', reason: what});
    emit({
      kind: 'log',
      level: 'info',
      part: 'fleet',
      message: `Upstream ${what}.`,
      fields: {
        instance: id,
        service: instance.service,
        address: instance.address,
        incarnation: instance.incarnation,
        revision: state.fleet.revision,
        from,
        ageMs: getKnowledgeAgeMs(state, at),
      },
    });
  }
}

/** Connections to an earlier process must not be used for a later one. */
function handleOwnInstanceChange(
  state: MeshState,
  changedId: string,
  emit: MeshEmit,
): void {
  const id = getOwnInstance(state)?.id;
  state.health.deregisteredId = id === undefined ? changedId : undefined;
  if (id !== undefined && state.health.registeredId !== id) {
    state.health.registeredId = id;
    state.health.replacedId = undefined;
    emit({kind: 'dropUpstreamConnections'});
  }
}

/** Puts a version in force if it is higher than the one held. */
export function adoptConfig(
  state: MeshState,
  config: MeshConfig,
  from: string,
  emit: MeshEmit,
): boolean {
  const held = state.config?.version ?? -1;
  if (config.version <= held) {
    emit({kind: 'count', counter: 'update_ignored', reason: 'old_version'});
    return false;
  }
  state.config = config;
  state.routeTable = createMeshRouteTable(config);
  emit({kind: 'configAdopted', config});
  emit({
    kind: 'count',
    counter: 'version_adopted',
    reason: from === 'source' ? 'source' : 'peer',
  });
  emit({
    kind: 'log',
    level: 'info',
    part: 'config',
    message: 'Version adopted.',
    fields: {
      version: config.version,
      replaced: held < 0 ? undefined : held,
      routes: config.routes.length,
      from,
    },
  });
  return true;
}
