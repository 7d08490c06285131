/** Chooses the peers that remember which sequences a region has heard of. */
import {Config, Upstream} from '../../model/config.js';
import {rankByRendezvous} from '../hashing.js';
import {isMissingFromVmList, isReachable, Membership} from './membership.js';

const MAX_WITNESSES = 5;

/** Further peers that a starting proxy asks where the witnesses start as well. */
const MAX_ADDITIONAL_PEERS = 16;

export interface Witness {
  readonly id: string;
  readonly peerAddress: string;
}

/** Choices made before, by the upstreams that they were made from. */
const witnessCache = new WeakMap<Config['upstreams'], Map<string, Witness[]>>();

/**
 * Chooses the witnesses of a region under some configuration: an odd number,
 * spread over availability zones. All proxies of the region get the same.
 * @param region - The region.
 * @param upstreams - The upstreams that the configuration names.
 * @returns At most 5 witnesses; none where the region has no proxy.
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
 * Chooses the peers that a starting proxy asks besides its witnesses.
 * @param id - The proxy.
 * @param config - The configuration that names the other proxies.
 * @returns At most 16 proxies; in a small fleet all others.
 */
export function getAdditionalPeers(id: string, config: Config): Witness[] {
  const others = Object.keys(config.upstreams).filter(other => other !== id);
  return rankByRendezvous(`circle ${id}`, others)
    .slice(0, MAX_ADDITIONAL_PEERS)
    .map(other => toWitness(other, config.upstreams));
}

/**
 * Leaves out witnesses whose memory is gone for good. One failed contact does
 * not tell a dead witness from a partition, so a second source must say the
 * same: the newest configuration, or the platform's VM list.
 * @param witnesses - The witnesses under some configuration.
 * @param newest - The newest configuration folded.
 * @param membership - The membership view.
 * @param at - Now, in Unix milliseconds.
 * @returns The witnesses that count.
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

/** Reorders so that each zone's best come first, then each zone's second. */
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
