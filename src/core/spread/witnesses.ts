/**
 * Chooses the witnesses of a region. Witnesses are peers that remember the
 * highest sequence announced in the region and report it to starting proxies.
 */
import {Config, Upstream} from '../../model/config.js';
import {rankByRendezvous} from '../hashing.js';
import {isMissingFromVmList, isReachable, Membership} from './membership.js';

/** Most witnesses of a region. */
const MAX_WITNESSES = 5;

/**
 * Additional peers that a starting proxy asks if a majority of the witnesses is
 * starting too.
 */
const MAX_ADDITIONAL_PEERS = 16;

/** A proxy and the address at which it is asked. */
export interface Witness {
  readonly id: string;
  readonly peerAddress: string;
}

/** Results of `getWitnesses` by region. */
const witnessCache = new WeakMap<Config['upstreams'], Map<string, Witness[]>>();

/**
 * Gets the witnesses of a region under a configuration: an odd number of
 * proxies in as many availability zones as possible. All proxies compute the
 * same result.
 * @param region - The region.
 * @param upstreams - The upstreams of the configuration.
 * @returns At most 5 witnesses; none if the region has no proxy.
 */
export function getWitnesses(
  region: string,
  upstreams: Config['upstreams'],
): readonly Witness[] {
  let chosen = witnessCache.get(upstreams);
  if (chosen === undefined) {
    chosen = new Map();
    witnessCache.set(upstreams, chosen);
  }
  let witnesses = chosen.get(region);
  if (witnesses === undefined) {
    witnesses = chooseWitnesses(region, upstreams);
    chosen.set(region, witnesses);
  }
  return witnesses;
}

function chooseWitnesses(
  region: string,
  upstreams: Config['upstreams'],
): Witness[] {
  const members = Object.keys(upstreams).filter(
    id => upstreams[id].region === region,
  );
  const ranked = rankByRendezvous(`witness ${region}`, members);
  const ordered = interleaveZones(ranked, upstreams);
  const count = Math.min(MAX_WITNESSES, ordered.length);
  const oddCount = count % 2 === 0 ? Math.max(0, count - 1) : count;
  return ordered.slice(0, oddCount).map(id => toWitness(id, upstreams));
}

function toWitness(id: string, upstreams: Config['upstreams']): Witness {
  return {id, peerAddress: upstreams[id].peerAddress};
}

/**
 * Chooses the peers that a starting proxy asks in addition to its witnesses.
 * @param id - Identifier of the starting proxy.
 * @param config - The configuration, which lists the proxies.
 * @returns At most 16 other proxies, or all others in a smaller fleet.
 */
export function getAdditionalPeers(id: string, config: Config): Witness[] {
  const others = Object.keys(config.upstreams).filter(other => other !== id);
  return rankByRendezvous(`circle ${id}`, others)
    .slice(0, MAX_ADDITIONAL_PEERS)
    .map(other => toWitness(other, config.upstreams));
}

/**
 * Excludes witnesses that are lost for good, which must not count towards the
 * size of a majority. A failed contact alone could also be a network partition,
 * so the newest configuration or the platform's VM list must no longer contain
 * the witness either.
 * @param witnesses - The witnesses under a configuration.
 * @param newest - The newest folded configuration.
 * @param membership - The membership view.
 * @param at - Now, in Unix milliseconds.
 * @returns The remaining witnesses.
 */
export function dropLostWitnesses(
  witnesses: readonly Witness[],
  newest: Config,
  membership: Membership,
  at: number,
): readonly Witness[] {
  return witnesses.filter(({id, peerAddress}) => {
    const removed = newest.upstreams[id]?.peerAddress !== peerAddress;
    const lost = removed || isMissingFromVmList(membership, id);
    return !lost || isReachable(membership, peerAddress, at);
  });
}

/**
 * Reorders ranked proxies so that the first of each zone come first, then the
 * second of each zone, and so on.
 */
function interleaveZones(
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
 * Reports whether a set contains a majority of the witnesses.
 * @param witnesses - The witnesses.
 * @param ids - Identifiers of the proxies that count.
 * @returns True for a majority, or if there is no witness.
 */
export function hasMajority(
  witnesses: readonly Witness[],
  ids: ReadonlySet<string>,
): boolean {
  const present = witnesses.filter(({id}) => ids.has(id)).length;
  return witnesses.length === 0 || 2 * present > witnesses.length;
}
