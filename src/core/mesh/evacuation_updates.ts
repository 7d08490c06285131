/** Applies reports of evacuated zones to the state of a proxy, and sends its own. */
import {Evacuation} from '../../model/mesh.js';
import {markZoneTakenBack} from './cold_detection.js';
import {ANNOUNCE_DELAY_MS} from './config_freshness.js';
import {
  getEvacuatedZones,
  isZoneEvacuated,
  mergeEvacuationReading,
  mergeEvacuations,
} from './evacuations.js';
import {rebuildIndexes} from './fleet_view.js';
import {getKnowledgeAgeMs} from './known_state.js';
import {MeshState, getOwnInstance} from './mesh_state.js';
import {EvacuationReading, MeshEmit} from './mesh_types.js';

/**
 * Applies the registers of a peer.
 * @param from - Link address of the peer.
 * @returns Whether any register changed.
 */
export function applyPeerEvacuations(
  state: MeshState,
  reports: readonly Evacuation[] | undefined,
  at: number,
  from: string,
  emit: MeshEmit,
): boolean {
  return applyChanges(state, at, from, emit, () =>
    mergeEvacuations(state.fleet.evacuations, reports ?? []),
  );
}

/**
 * Applies what a read of the source shows.
 * @returns Whether any register changed.
 */
export function applyEvacuationReading(
  state: MeshState,
  reading: EvacuationReading | undefined,
  at: number,
  emit: MeshEmit,
): boolean {
  return applyChanges(state, at, 'source', emit, () =>
    reading === undefined
      ? []
      : mergeEvacuationReading(state.fleet.evacuations, reading),
  );
}

/** Merges reports, and records the zones that are evacuated or taken back by it. */
function applyChanges(
  state: MeshState,
  at: number,
  from: string,
  emit: MeshEmit,
  merge: () => Evacuation[],
): boolean {
  const {fleet, configFreshness} = state;
  const before = new Set(getEvacuatedZones(fleet.evacuations));
  const changed = merge();
  if (changed.length === 0) {
    return false;
  }
  rebuildIndexes(fleet);
  // Two peers are told beside the regular update, as of a new version.
  configFreshness.announceAt = at + ANNOUNCE_DELAY_MS;
  for (const {zone, evacuated, revision} of changed) {
    if (evacuated === before.has(zone)) {
      continue;
    }
    if (!evacuated) {
      markZoneTakenBack(state, zone, at);
    }
    const reason = evacuated ? 'evacuated' : 'taken_back';
    emit({kind: 'count', counter: 'zone_changed', reason});
    const upstreams = [...fleet.byAddress.values()].filter(
      instance => instance.zone === zone,
    );
    emit({
      kind: 'log',
      level: evacuated ? 'warn' : 'info',
      part: 'fleet',
      message: evacuated ? 'Zone evacuated.' : 'Zone taken back.',
      fields: {
        zone,
        revision,
        from,
        ageMs: getKnowledgeAgeMs(state, at),
        // 0: nothing is registered there, or the name is misspelt.
        upstreams: upstreams.length,
      },
    });
  }
  return true;
}

/** Gets the field `evacuations` of a message; absent where nothing is known. */
export function getSentEvacuations({fleet}: MeshState): {
  readonly evacuations?: readonly Evacuation[];
} {
  const {list} = fleet.evacuations;
  return list.length === 0 ? {} : {evacuations: list};
}

/** Reports whether the zone of this proxy's upstream is evacuated. */
export function isOwnZoneEvacuated(state: MeshState): boolean {
  const zone = getOwnInstance(state)?.zone ?? state.settings.zone;
  return isZoneEvacuated(state.fleet.evacuations, zone);
}
