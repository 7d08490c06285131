/**
 * Calls of the source, which is the platform's watch endpoint. Each zone has a
 * few proxies that call it, its watchers. A watcher makes one call at a time,
 * limits its calls per minute, and backs off after a failure.
 */
import {ConfigLog} from '../config/config_log.js';
import {RoutingTable} from '../config/routing_table.js';
import {CoreSettings} from '../core_settings.js';
import {rankByRendezvous} from '../hashing.js';
import {Emit} from '../types.js';
import {isLeaving, isReachable, Membership} from './membership.js';
import {getProxiesByZone} from './push.js';

const MS_PER_MINUTE = 60_000;
/** Number of values of a random 32-bit integer. */
const ENTROPY_RANGE = 2 ** 32;

/** State of this proxy's calls of the source. */
export interface SourceWatch {
  callPending: boolean;
  /** When the last call was made, in Unix milliseconds. */
  lastCallAt: number;
  /** Earliest time of the next call, in Unix milliseconds. */
  nextCallAt: number;
  /** Failed calls since the last success. */
  failures: number;
  /** Tokens of the token bucket that limits the calls; a call takes one. */
  tokens: number;
  refilledAt: number;
  /** When the source last answered, in Unix milliseconds; 0 if never. */
  answeredAt: number;
  /** Highest sequence number that the source reported in its last answer. */
  head: number;
}

export function createSourceWatch(settings: CoreSettings): SourceWatch {
  return {
    callPending: false,
    lastCallAt: 0,
    nextCallAt: 0,
    failures: 0,
    tokens: settings.dissemination.sourceCallsPerMinute,
    refilledAt: settings.startedAt,
    answeredAt: 0,
    head: 0,
  };
}

/** Results of `rankZoneProxies` by zone. */
const rankCache = new WeakMap<RoutingTable, Map<string, string[]>>();

/** Ranks all proxies of a zone, in the same order at every proxy. */
function rankZoneProxies(table: RoutingTable, zone: string): readonly string[] {
  let ranks = rankCache.get(table);
  if (ranks === undefined) {
    ranks = new Map();
    rankCache.set(table, ranks);
  }
  let ranked = ranks.get(zone);
  if (ranked === undefined) {
    const members = getProxiesByZone(table).get(zone) ?? [];
    ranked = rankByRendezvous(`watch ${zone}`, members);
    ranks.set(zone, ranked);
  }
  return ranked;
}

/**
 * Ranks the proxies of a zone that can watch the source. The first
 * `watchersPerZone` of them are the zone's watchers.
 * @param table - The routing table, which lists the proxies.
 * @param membership - The membership view.
 * @param zone - The availability zone.
 * @param at - Now, in Unix milliseconds.
 * @returns Identifiers of the proxies that are reachable and not leaving,
 *     highest rank first.
 */
export function rankWatchers(
  table: RoutingTable,
  membership: Membership,
  zone: string,
  at: number,
): string[] {
  return rankZoneProxies(table, zone).filter(id => {
    const address = table.upstreams.get(id)?.peerAddress ?? '';
    return isReachable(membership, address, at) && !isLeaving(membership, id);
  });
}

/**
 * Finds the watcher that this proxy probes next. The proxies that rank directly
 * below the watchers, as many as there are watchers, probe them in turn: random
 * gossip alone may take long to detect a failed watcher.
 * @param table - The routing table, which lists the proxies.
 * @param membership - The membership view.
 * @param settings - This proxy's settings.
 * @param turn - Number of probes so far.
 * @returns The watcher's peer address, or undefined if this proxy does not
 *     probe watchers.
 */
export function findWatcherToProbe(
  table: RoutingTable,
  membership: Membership,
  settings: CoreSettings,
  turn: number,
): string | undefined {
  const {watchersPerZone} = settings.dissemination;
  // Unreachable proxies stay in the ranking, so that a watcher that is back is
  // detected.
  const candidates = rankZoneProxies(table, settings.zone).filter(
    id => !isLeaving(membership, id),
  );
  const own = candidates.indexOf(settings.id);
  if (own < watchersPerZone || own >= 2 * watchersPerZone) {
    return undefined;
  }
  return table.upstreams.get(candidates[(own + turn) % watchersPerZone])
    ?.peerAddress;
}

/**
 * Gets this proxy's turn to announce a sequence that it received from outside
 * its region. The turn is the rank of its zone for this sequence plus its own
 * rank among the zone's watchers. A proxy that learns before its turn that the
 * sequence is in force does not announce it.
 * @param table - The routing table, which lists the proxies.
 * @param membership - The membership view.
 * @param settings - This proxy's settings.
 * @param sequence - The sequence.
 * @param at - Now, in Unix milliseconds.
 * @returns The turn, starting at 0.
 */
export function getAnnounceTurn(
  table: RoutingTable,
  membership: Membership,
  settings: CoreSettings,
  sequence: number,
  at: number,
): number {
  const zones = getProxiesByZone(table);
  const inRegion = [...zones.keys()].filter(zone => {
    const [first] = zones.get(zone) ?? [];
    return table.upstreams.get(first)?.region === settings.region;
  });
  const order = rankByRendezvous(`announce ${sequence}`, inRegion);
  const ranked = rankWatchers(table, membership, settings.zone, at);
  return (
    Math.max(0, order.indexOf(settings.zone)) +
    Math.max(0, ranked.indexOf(settings.id))
  );
}

/**
 * Starts a watch call, unless one is pending, the backoff has not passed or the
 * calls of this minute are used up.
 * @param watch - State of the calls, which is updated.
 * @param log - The submission log.
 * @param membership - The membership view.
 * @param settings - This proxy's settings.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Receives the effects.
 */
export function startWatchCall(
  watch: SourceWatch,
  log: ConfigLog,
  membership: Membership,
  settings: CoreSettings,
  at: number,
  emit: Emit,
): void {
  if (watch.callPending || at < watch.nextCallAt) {
    return;
  }
  if (!takeToken(watch, settings, at)) {
    emit({kind: 'count', counter: 'source_call', reason: 'over_budget'});
    watch.nextCallAt = at + settings.dissemination.backoffBaseMs;
    return;
  }
  watch.callPending = true;
  watch.lastCallAt = at;
  emit({kind: 'count', counter: 'source_call', reason: 'watch'});
  emit({
    kind: 'watchSource',
    afterSequence: log.latest.sequence,
    vmRevision: membership.vmList.revision,
    // The first call returns at once, because a start may depend on the answer.
    waitMs: watch.answeredAt === 0 ? 0 : settings.dissemination.watchWaitMs,
  });
}

/** Refills the token bucket and takes a token; returns false if it is empty. */
function takeToken(
  watch: SourceWatch,
  settings: CoreSettings,
  at: number,
): boolean {
  const budget = settings.dissemination.sourceCallsPerMinute;
  const refill = ((at - watch.refilledAt) * budget) / MS_PER_MINUTE;
  watch.tokens = Math.min(budget, watch.tokens + refill);
  watch.refilledAt = at;
  if (watch.tokens < 1) {
    return false;
  }
  watch.tokens -= 1;
  return true;
}

/**
 * Records an answer of the source. An early answer without updates, such as one
 * with only a submission beyond a gap, would be repeated at once by the next
 * call, so it delays that call like a failure.
 * @param watch - State of the calls, which is updated.
 * @param settings - This proxy's settings.
 * @param head - Highest sequence number that the source knows.
 * @param hasUpdates - Whether the answer contained anything new.
 * @param at - Now, in Unix milliseconds.
 * @param entropy - Random 32-bit integer.
 */
export function recordSourceAnswer(
  watch: SourceWatch,
  settings: CoreSettings,
  head: number,
  hasUpdates: boolean,
  at: number,
  entropy: number,
): void {
  const waitedMs = at - watch.lastCallAt;
  watch.answeredAt = at;
  watch.head = head;
  if (!hasUpdates && waitedMs < settings.dissemination.watchWaitMs / 2) {
    recordSourceFailure(watch, settings, at, entropy);
    return;
  }
  watch.callPending = false;
  watch.failures = 0;
  watch.nextCallAt = at;
}

/**
 * Records a failed call and delays the next one by exponential backoff with
 * full jitter, so that the proxies do not all retry at the same time.
 * @param watch - State of the calls, which is updated.
 * @param settings - This proxy's settings.
 * @param at - Now, in Unix milliseconds.
 * @param entropy - Random 32-bit integer.
 */
export function recordSourceFailure(
  watch: SourceWatch,
  settings: CoreSettings,
  at: number,
  entropy: number,
): void {
  const {backoffBaseMs, backoffMaxMs} = settings.dissemination;
  watch.callPending = false;
  const ceiling = Math.min(backoffMaxMs, backoffBaseMs * 2 ** watch.failures);
  watch.failures += 1;
  watch.nextCallAt = at + (ceiling * entropy) / ENTROPY_RANGE;
}
