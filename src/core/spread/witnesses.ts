/** Chooses the peers that remember which sequence a proxy has put in force. */
import {Config, Upstream} from '../../model/config.js';
import {rankByRendezvous} from '../hashing.js';

const MAX_WITNESSES = 5;

export interface Witness {
  readonly id: string;
  readonly peerAddress: string;
}

/**
 * Chooses a proxy's witnesses: an odd number, its own region first, spread
 * over availability zones.
 * @param id - The proxy.
 * @param region - Its region.
 * @param config - The configuration that names the other proxies.
 * @returns At most 5 witnesses; none where the proxy is alone.
 */
export function getWitnesses(
  id: string,
  region: string,
  config: Config,
): Witness[] {
  const others = Object.keys(config.upstreams).filter(other => other !== id);
  const ranked = rankByRendezvous(id, others);
  const inRegion = (other: string) => config.upstreams[other].region === region;
  const ordered = [
    ...spreadOverZones(ranked.filter(inRegion), config.upstreams),
    ...spreadOverZones(
      ranked.filter(other => !inRegion(other)),
      config.upstreams,
    ),
  ];
  const count = Math.min(MAX_WITNESSES, ordered.length);
  const oddCount = count % 2 === 0 ? Math.max(0, count - 1) : count;
  return ordered.slice(0, oddCount).map(other => ({
    id: other,
    peerAddress: config.upstreams[other].peerAddress,
  }));
}

/** Reorders so that each zone's best come first, then each zone's second. */
function spreadOverZones(
  ranked: readonly string[],
  upstreams: Readonly<Record<string, Upstream>>,
): string[] {
  const countByZone = new Map<string, number>();
  const turns = ranked.map(id => {
    const {zone} = upstreams[id];
    const turn = countByZone.get(zone) ?? 0;
    countByZone.set(zone, turn + 1);
    return {id, turn};
  });
  turns.sort((a, b) => a.turn - b.turn);
  return turns.map(({id}) => id);
}

/**
 * Tells whether a majority of witnesses is in a set.
 * @param witnesses - The witnesses.
 * @param ids - Identifiers of those that answered.
 * @returns True for a majority, or where there is no witness.
 */
export function hasMajority(
  witnesses: readonly Witness[],
  ids: ReadonlySet<string>,
): boolean {
  const present = witnesses.filter(({id}) => ids.has(id)).length;
  return witnesses.length === 0 || 2 * present > witnesses.length;
}
