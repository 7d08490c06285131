/**
 * Decides when this proxy calls the platform: only as one of its zone's
 * watchers, one call at a time, within a budget, with backoff on failure.
 */
import {ConfigLog} from '../config/config_log.js';
import {RoutingTable} from '../config/routing_table.js';
import {CoreSettings} from '../core_settings.js';
import {rankByRendezvous} from '../hashing.js';
import {Emit} from '../types.js';
import {isLeaving, isReachable, Membership} from './membership.js';
import {getProxiesByZone} from './push.js';

const MS_PER_MINUTE = 60_000;
const MAX_ENTROPY = 2 ** 32;

export interface SourceWatch {
  callPending: boolean;
  /** When the last call was made, in Unix milliseconds. */
  lastCallAt: number;
  nextCallAt: number;
  failures: number;
  /** Calls that may still be made now; refilled by the minute's budget. */
  tokens: number;
  refilledAt: number;
  /** When the source last answered, in Unix milliseconds; 0 if never. */
  answeredAt: number;
  /** Head of the last answer. */
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

/** Ranks of all proxies of a zone, by the table that names them. */
const rankCache = new WeakMap<RoutingTable, Map<string, string[]>>();

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
 * Lists the proxies of a zone by their claim to watch the source.
 * @param table - Names the proxies.
 * @param membership - The membership view.
 * @param zone - The availability zone.
 * @param at - Now, in Unix milliseconds.
 * @returns Identifiers of reachable proxies, best first.
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
 * Finds the watcher that this proxy looks after: the next in line each probe
 * the watchers in turn, because nobody else is sure to notice a death soon.
 * @param table - Names the proxies.
 * @param membership - The membership view.
 * @param settings - This proxy's settings.
 * @param turn - Counts up with each look.
 * @returns The watcher's peer address, or undefined for all but the next in
 *     line.
 */
export function findWatcherToProbe(
  table: RoutingTable,
  membership: Membership,
  settings: CoreSettings,
  turn: number,
): string | undefined {
  const {watchersPerZone} = settings.dissemination;
  // Unreachable ones stay in the line, or their return would go unnoticed.
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
 * Gets this proxy's turn to announce a sequence that it read from outside its
 * region: zones take turns, and watchers within a zone. Whoever sees it in
 * force before its turn need not announce.
 * @param table - Names the proxies.
 * @param membership - The membership view.
 * @param settings - This proxy's settings.
 * @param sequence - The sequence.
 * @param at - Now, in Unix milliseconds.
 * @returns 0 for the first.
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
 * Starts a watch call, unless one is under way or it is too early.
 * @param watch - State of the calls.
 * @param log - The submission log.
 * @param membership - The membership view.
 * @param settings - This proxy's settings.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes effects.
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
    // The first call asks what there is; a start may depend on the answer.
    waitMs: watch.answeredAt === 0 ? 0 : settings.dissemination.watchWaitMs,
  });
}

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
 * Takes note of an answer. One that came early and brought nothing new, such
 * as a submission beyond a gap, would come again at once, so it delays the
 * next call like a failure.
 * @param watch - State of the calls.
 * @param settings - This proxy's settings.
 * @param head - Head of the answer.
 * @param hasUpdates - It brought something new.
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
 * Delays the next call by exponential backoff with full jitter, so that a
 * herd of proxies does not return in step.
 * @param watch - State of the calls.
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
  watch.nextCallAt = at + (ceiling * entropy) / MAX_ENTROPY;
}
