/**
 * The upstreams of a service among which an entry chooses first. Load pattern: a
 * service with a hundred upstreams and many entries with few calls each. Choosing
 * among all of them opens a link to each, and its load report is seconds old by the
 * time it is used; a bounded subset has open links and recent reports. Hashing gives
 * each entry another subset, so that every upstream is in about as many.
 */
import {Instance} from '../../model/mesh.js';
import {rankByRendezvous} from '../hashing.js';
import {MeshState, getLinkAddress} from './mesh_state.js';

/** Largest number of preferred upstreams of a service in this proxy's zone. */
const MAX_IN_ZONE = 32;

/** Largest number of preferred upstreams of a service in all other zones. */
const MAX_ELSEWHERE = 12;

export interface PreferredInstances {
  /** The upstreams of the service from which this was created. */
  readonly all: readonly Instance[];
  readonly preferred: readonly Instance[];
}

/**
 * Gets the preferred upstreams of a service.
 * @param state - This proxy's state.
 * @param service - The service.
 * @returns Some or all of those that accept new work.
 */
export function getPreferredInstances(
  state: MeshState,
  service: string,
): readonly Instance[] {
  const all = state.fleet.acceptingByService.get(service) ?? [];
  const known = state.preferred.get(service);
  if (known?.all === all) {
    return known.preferred;
  }
  const preferred = createPreferred(state, all);
  state.preferred.set(service, {all, preferred});
  return preferred;
}

function createPreferred(
  state: MeshState,
  all: readonly Instance[],
): readonly Instance[] {
  if (all.length <= MAX_ELSEWHERE) {
    return all;
  }
  const {zone} = state.settings;
  const inZone = all.filter(instance => instance.zone === zone);
  const elsewhere = all.filter(instance => instance.zone !== zone);
  return [
    ...selectByHash(state, inZone, MAX_IN_ZONE),
    ...selectByHash(state, elsewhere, MAX_ELSEWHERE),
  ];
}

function selectByHash(
  state: MeshState,
  instances: readonly Instance[],
  count: number,
): readonly Instance[] {
  if (instances.length <= count) {
    return instances;
  }
  const byAddress = new Map(
    instances.map(instance => [getLinkAddress(state, instance), instance]),
  );
  return rankByRendezvous(state.settings.address, [...byAddress.keys()])
    .slice(0, count)
    .map(address => byAddress.get(address)!);
}
