/**
 * Applies configurations and fleet updates to the state of a proxy. The
 * configuration version never decreases, and a version is adopted as a whole.
 * Each change is counted and logged with its origin.
 */
import {
  ConfigDelta,
  FleetUpdate,
  Instance,
  MeshConfig,
} from '../../model/mesh.js';
import {retainRoutes} from './caller_budgets.js';
import {endSignIfWarm, markNewStart} from './cold_detection.js';
import {
  ANNOUNCE_DELAY_MS,
  MAX_SENT_AGE_MS,
  getBoundedAgeMs,
} from './config_freshness.js';
import {recordDelta} from './config_history.js';
import {FleetChange, updateFleetView} from './fleet_view.js';
import {MeshState, getLinkAddress, getOwnInstance} from './mesh_state.js';
import {MeshEmit} from './mesh_types.js';
import {resetRateLimit} from './rate_limit.js';
import {createMeshRouteTable} from './route_table.js';

/**
 * Gets the age of what is known of the fleet, in milliseconds.
 * @returns The age, or undefined where nothing is known yet.
 */
export function getKnowledgeAgeMs(
  state: MeshState,
  at: number,
): number | undefined {
  const ageMs = at - state.sourceReads.freshAt;
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** Gets the knowledge age as a finite number, for messages to peers. */
export function getBoundedKnowledgeAgeMs(state: MeshState, at: number): number {
  return getBoundedAgeMs(at, state.sourceReads.freshAt);
}

/**
 * Records how old a peer's list was when it told of it.
 * @param ageMs - The age that the peer stated, in milliseconds.
 */
export function recordPeerAge(
  {sourceReads}: MeshState,
  at: number,
  ageMs: number,
): void {
  if (ageMs < MAX_SENT_AGE_MS) {
    sourceReads.freshAt = Math.max(sourceReads.freshAt, at - ageMs);
  }
}

/**
 * Applies an update to the fleet view and records the changes.
 * @param from - Link address of the sender, or `source`.
 */
export function applyFleetUpdate(
  state: MeshState,
  update: FleetUpdate,
  at: number,
  from: string,
  emit: MeshEmit,
): FleetChange[] {
  const changes = updateFleetView(state.fleet, update, at);
  if (state.fleet.instances.size > 0) {
    state.sourceReads.upstreamsKnownAt ??= at;
  }
  recordFleetChanges(state, changes, at, from, emit);
  endSignIfWarm(state);
  return changes;
}

/** Logs changes of the fleet and discards load data that they invalidate. */
export function recordFleetChanges(
  state: MeshState,
  changes: readonly FleetChange[],
  at: number,
  from: string,
  emit: MeshEmit,
): void {
  for (const {id, kind, instance} of changes) {
    if (kind === 'removed' || kind === 'restarted') {
      state.loads.delete(id);
      state.preparedLinks.delete(getLinkAddress(state, instance));
    }
    if (instance.address === state.settings.upstreamAddress) {
      handleOwnInstanceChange(state, id, at, emit);
    }
    emit({kind: 'count', counter: 'instance_changed', reason: kind});
    emit({
      kind: 'log',
      level: 'info',
      part: 'fleet',
      message: `Upstream ${kind}.`,
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

/**
 * Handles a change of the upstream beside this proxy. Pooled connections to an
 * earlier process must not be used for a later one.
 */
function handleOwnInstanceChange(
  state: MeshState,
  changedId: string,
  at: number,
  emit: MeshEmit,
): void {
  const own = getOwnInstance(state);
  const id = own?.id;
  updateLimitsOfNewProcess(state, own, at);
  state.health.deregisteredId = id === undefined ? changedId : undefined;
  if (id !== undefined && state.health.registeredId !== id) {
    state.health.registeredId = id;
    state.health.replacedId = undefined;
    emit({kind: 'dropUpstreamConnections'});
  }
}

/**
 * A limit that an earlier process of the upstream has named no longer holds, and
 * the new one may be cold. The first list shows processes of any age.
 */
function updateLimitsOfNewProcess(
  state: MeshState,
  own: Instance | undefined,
  at: number,
): void {
  const {health, work, sourceReads} = state;
  if (own === undefined) {
    return;
  }
  const {registeredId, registeredIncarnation} = health;
  const isSameProcess =
    registeredId === own.id && registeredIncarnation === own.incarnation;
  if (registeredId !== undefined && !isSameProcess) {
    resetRateLimit(work.limit);
  }
  if (!isSameProcess && sourceReads.upstreamsKnownAt !== at) {
    markNewStart(state, own, at);
  }
  health.registeredIncarnation = own.incarnation;
}

/** How a configuration reached this proxy. */
export interface ConfigOrigin {
  /** Link address of the sender, or `source`. */
  readonly from: string;
  readonly at: number;
  /** When the source delivered it to the first proxy. */
  readonly readAt: number;
  /** How it follows from the version in force, if that is known. */
  readonly delta?: ConfigDelta;
}

/**
 * Adopts a configuration if its version is higher than the current one.
 * @returns Whether it was adopted.
 */
export function adoptConfig(
  state: MeshState,
  config: MeshConfig,
  {from, at, readAt, delta}: ConfigOrigin,
  emit: MeshEmit,
): boolean {
  const current = state.config?.version ?? -1;
  if (config.version <= current) {
    emit({kind: 'count', counter: 'update_ignored', reason: 'old_version'});
    return false;
  }
  state.config = config;
  state.routeTable = createMeshRouteTable(config);
  retainRoutes(state.callerBudgets, new Set(config.routes.map(r => r.name)));
  recordDelta(state.configHistory, delta);
  state.configFreshness.versionReadAt = readAt;
  state.configFreshness.announceAt = at + ANNOUNCE_DELAY_MS;
  const delayMs = Math.round(at - readAt);
  emit({kind: 'configAdopted', config});
  emit({
    kind: 'observe',
    histogram: 'version_delay_seconds',
    seconds: delayMs / 1_000,
  });
  emit({
    kind: 'count',
    counter: 'version_adopted',
    reason: from === 'source' ? 'source' : 'peer',
  });
  emit({
    kind: 'log',
    level: 'info',
    part: 'config',
    message: 'Configuration version adopted.',
    fields: {
      version: config.version,
      replaced: current < 0 ? undefined : current,
      routes: config.routes.length,
      from,
      delayMs,
    },
  });
  return true;
}
