/**
 * Decides when this proxy calls the platform: only as one of its zone's
 * watchers, one call at a time, within a budget, with backoff on failure.
 */
import {ConfigLog} from '../config/config_log.js';
import {CoreSettings} from '../core_settings.js';
import {rankByRendezvous} from '../hashing.js';
import {Emit} from '../types.js';
import {isLeaving, isReachable, Membership} from './membership.js';

const MS_PER_MINUTE = 60_000;
const MAX_ENTROPY = 2 ** 32;

export interface SourceWatch {
  waiting: boolean;
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
    nextAt: 0,
    failures: 0,
    tokens: settings.dissemination.sourceCallsPerMinute,
    refilledAt: settings.startedAt,
    answeredAt: 0,
    head: 0,
  };
}

/**
 * Lists the proxies of a zone by their claim to watch the source.
 * @param log - The submission log, whose active version names the proxies.
 * @param membership - The membership view.
 * @param zone - The availability zone.
 * @param at - Now, in Unix milliseconds.
 * @returns Identifiers of reachable proxies, best first.
 */
export function rankWatchers(
  log: ConfigLog,
  membership: Membership,
  zone: string,
  at: number,
): string[] {
  const candidates: string[] = [];
  for (const upstream of log.table.upstreams.values()) {
    const eligible =
      upstream.zone === zone &&
      isReachable(membership, upstream.peerAddress, at) &&
      !isLeaving(membership, upstream.id);
    if (eligible) {
      candidates.push(upstream.id);
    }
  }
  return rankByRendezvous(`watch ${zone}`, candidates);
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
  emit({kind: 'count', counter: 'source_call', reason: 'watch'});
  emit({
    kind: 'watchSource',
    afterSequence: log.latest.sequence,
    vmRevision: membership.vmList.revision,
    waitMs: settings.dissemination.watchWaitMs,
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

export function noteSourceAnswered(
  watch: SourceWatch,
  head: number,
  at: number,
): void {
  watch.waiting = false;
  watch.failures = 0;
  watch.nextAt = at;
  watch.answeredAt = at;
  watch.head = head;
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
