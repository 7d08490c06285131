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
import {getZones} from './push.js';

const MS_PER_MINUTE = 60_000;
const MAX_ENTROPY = 2 ** 32;

export interface SourceWatch {
  waiting: boolean;
  /** When the last call was made, in Unix milliseconds. */
  calledAt: number;
  nextAt: number;
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
    waiting: false,
    calledAt: 0,
    nextAt: 0,
    failures: 0,
    tokens: settings.dissemination.sourceCallsPerMinute,
    refilledAt: settings.startedAt,
    answeredAt: 0,
    head: 0,
  };
}

/** Ranks of all proxies of a zone, by the table that names them. */
const ranksByTable = new WeakMap<RoutingTable, Map<string, string[]>>();

function rankZone(table: RoutingTable, zone: string): readonly string[] {
  let ranks = ranksByTable.get(table);
  if (ranks === undefined) {
    ranks = new Map();
    ranksByTable.set(table, ranks);
  }
  let ranked = ranks.get(zone);
  if (ranked === undefined) {
    const members = getZones(table).get(zone) ?? [];
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
  return rankZone(table, zone).filter(id => {
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
export function findWard(
  table: RoutingTable,
  membership: Membership,
  settings: CoreSettings,
  turn: number,
): string | undefined {
  const {watchersPerZone} = settings.dissemination;
  // Unreachable ones stay in the line, or their return would go unnoticed.
  const line = rankZone(table, settings.zone).filter(
    id => !isLeaving(membership, id),
  );
  const own = line.indexOf(settings.id);
  if (own < watchersPerZone || own >= 2 * watchersPerZone) {
    return undefined;
  }
  return table.upstreams.get(line[(own + turn) % watchersPerZone])?.peerAddress;
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
export function getWatcherTurn(
  table: RoutingTable,
  membership: Membership,
  settings: CoreSettings,
  sequence: number,
  at: number,
): number {
  const zones = getZones(table);
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
export function callSource(
  watch: SourceWatch,
  log: ConfigLog,
  membership: Membership,
  settings: CoreSettings,
  at: number,
  emit: Emit,
): void {
  if (watch.waiting || at < watch.nextAt) {
    return;
  }
  if (!takeToken(watch, settings, at)) {
    emit({kind: 'count', counter: 'source_call', reason: 'over_budget'});
    watch.nextAt = at + settings.dissemination.backoffBaseMs;
    return;
  }
  watch.waiting = true;
  watch.calledAt = at;
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
 * @param hasNews - It brought something new.
 * @param at - Now, in Unix milliseconds.
 * @param entropy - Random 32-bit integer.
 */
export function noteSourceAnswered(
  watch: SourceWatch,
  settings: CoreSettings,
  head: number,
  hasNews: boolean,
  at: number,
  entropy: number,
): void {
  const waitedMs = at - watch.calledAt;
  watch.answeredAt = at;
  watch.head = head;
  if (!hasNews && waitedMs < settings.dissemination.watchWaitMs / 2) {
    noteSourceFailed(watch, settings, at, entropy);
    return;
  }
  watch.waiting = false;
  watch.failures = 0;
  watch.nextAt = at;
}

/**
 * Delays the next call by exponential backoff with full jitter, so that a
 * herd of proxies does not return in step.
 * @param watch - State of the calls.
 * @param settings - This proxy's settings.
 * @param at - Now, in Unix milliseconds.
 * @param entropy - Random 32-bit integer.
 */
export function noteSourceFailed(
  watch: SourceWatch,
  settings: CoreSettings,
  at: number,
  entropy: number,
): void {
  const {backoffBaseMs, backoffMaxMs} = settings.dissemination;
  watch.waiting = false;
  const ceiling = Math.min(backoffMaxMs, backoffBaseMs * 2 ** watch.failures);
  watch.failures += 1;
  watch.nextAt = at + (ceiling * entropy) / MAX_ENTROPY;
}
