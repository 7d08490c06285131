/**
 * Decides at the owner whether its upstream counts as cold, and how much it may
 * get. Signs of a cold upstream reach the owner before its registration does, or
 * while the source is down; a registration that was written after them and says
 * that the upstream is warm ends the limit.
 */
import {Instance} from '../../model/mesh.js';
import {
  COLD_WINDOW_MS,
  ColdBound,
  ColdCause,
  getColdRate,
} from './cold_limit.js';
import {MeshState, getOwnInstance} from './mesh_state.js';
import {MeshEmit} from './mesh_types.js';
import {roundToHundredths} from './rounding.js';

/** Cold time assumed where the configuration states or yields none. */
const DEFAULT_COLD_START_MS = 3_000;

/**
 * Reads whose answers show what was registered after a sign. The first one that is
 * answered after it may have been under way.
 */
const READS_AFTER_SIGN = 2;

/**
 * Least time from the end of a proxy's process to the start of its successor's core,
 * in which the runtime starts: about 0.3 s of a whole core.
 */
const MIN_RESTART_MS = 300;

/** What a cold upstream of a service may get. */
interface ServiceLimit {
  readonly allowance: number;
  readonly coldStartMs: number;
}

/** Starts or renews the cold state of the upstream beside this proxy. */
function recordSign(state: MeshState, cause: ColdCause, at: number): void {
  state.work.cold.sign = {cause, at, reads: 0};
}

/**
 * Records the start of this process. What its predecessor has dispatched is not
 * known, so the allowance of the window that may include it counts as used.
 * @param state - This proxy's state.
 * @param bootMs - Time since the process was started: its predecessor had ended
 *     by then, in milliseconds.
 * @param at - Now, in milliseconds.
 */
export function markProxyStarted(
  state: MeshState,
  bootMs: number,
  at: number,
): void {
  recordSign(state, 'proxy_started', at);
  state.work.cold.heldUntil = at + Math.max(0, COLD_WINDOW_MS - bootMs);
}

/**
 * Ends the hold after the start of this process if its upstream has started since the
 * predecessor ended, which therefore has dispatched nothing to it.
 */
function releaseIfUpstreamIsNewer(state: MeshState): void {
  const {settings, work} = state;
  const startedAt = getOwnInstance(state)?.incarnation ?? 0;
  if (startedAt >= settings.startedAt - MIN_RESTART_MS) {
    work.cold.heldUntil = -Infinity;
  }
}

/** Records that the upstream accepts connections after it has refused some. */
export function markAcceptingAgain(state: MeshState, at: number): void {
  recordSign(state, 'accepts_again', at);
}

/** Records a registration that another process of the upstream has written. */
export function markNewStart(
  state: MeshState,
  own: Instance,
  at: number,
): void {
  state.work.cold.sign = {cause: 'new_start', at, reads: 0, seen: own};
}

/**
 * Records that the operator has taken back an evacuated zone. To be called for each
 * zone taken back; those without this proxy's upstream are ignored.
 * @param state - This proxy's state.
 * @param zone - The zone.
 * @param at - Now, in milliseconds.
 */
export function markZoneTakenBack(
  state: MeshState,
  zone: string,
  at: number,
): void {
  if ((getOwnInstance(state)?.zone ?? state.settings.zone) === zone) {
    recordSign(state, 'zone_taken_back', at);
  }
}

/** Gets the latest report of the own upstream; heartbeats rebuild no index. */
function getLatestReport({fleet, settings}: MeshState): Instance | undefined {
  const own = fleet.byAddress.get(settings.upstreamAddress);
  return own && (fleet.instances.get(own.id) ?? own);
}

/**
 * Notes what a read of the source showed that is not older than the read. Reports
 * with a higher heartbeat were written later than the latest sign.
 */
export function noteCurrentRegistration(state: MeshState): void {
  const {sign} = state.work.cold;
  if (sign === undefined) {
    return;
  }
  sign.reads += 1;
  // A process that has just started had no read under way.
  const readsNeeded = sign.cause === 'proxy_started' ? 1 : READS_AFTER_SIGN;
  if (sign.reads >= readsNeeded) {
    sign.seen ??= getLatestReport(state);
  }
}

/** Ends the effect of a sign if a later registration says that all is warm. */
export function endSignIfWarm(state: MeshState): void {
  const {cold} = state.work;
  const seen = cold.sign?.seen;
  const latest = seen && getLatestReport(state);
  if (
    latest !== undefined &&
    latest.id === seen?.id &&
    latest.incarnation === seen.incarnation &&
    latest.heartbeat > seen.heartbeat &&
    latest.coldMs === 0
  ) {
    cold.sign = undefined;
  }
}

/**
 * Finds the limit of the own upstream. Before the first configuration is known, an
 * upstream that may be cold gets nothing.
 */
function findServiceLimit(
  {settings, config}: MeshState,
  service: string,
): ServiceLimit | undefined {
  const {coldLimit} = settings;
  if (coldLimit === undefined) {
    return undefined;
  }
  if (config === undefined) {
    return {allowance: 0, coldStartMs: DEFAULT_COLD_START_MS};
  }
  const found = config.services.find(({name}) => name === service);
  const perSecond = found?.coldPerSecond ?? 0;
  if (perSecond === 0) {
    return undefined;
  }
  return {
    allowance: Math.floor(perSecond * coldLimit.excess + coldLimit.slack),
    coldStartMs: found?.coldStartMs ?? DEFAULT_COLD_START_MS,
  };
}

function findBound(state: MeshState, at: number): ColdBound | undefined {
  const {work, fleet, settings} = state;
  const {sign} = work.cold;
  const own = getOwnInstance(state);
  // The next report, which may say that it is warm, can be an interval away.
  const listedUntil =
    (fleet.coldUntil.get(own?.id ?? '') ?? -Infinity) + settings.heartbeatMs;
  if (sign === undefined && at >= listedUntil) {
    return undefined;
  }
  const limit = findServiceLimit(state, own?.service ?? settings.service);
  if (limit === undefined) {
    return undefined;
  }
  const {allowance, coldStartMs} = limit;
  const signUntil = sign === undefined ? -Infinity : sign.at + coldStartMs;
  const until = Math.max(signUntil, listedUntil);
  if (at >= until) {
    return undefined;
  }
  const cause = signUntil >= listedUntil ? sign?.cause : undefined;
  return {cause: cause ?? 'registered', allowance, until};
}

/**
 * Brings the limit up to date before a decision, and logs its begin and end.
 * @param state - This proxy's state.
 * @param at - Now, in milliseconds.
 * @param emit - Receives the effects.
 */
export function updateColdLimit(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {cold} = state.work;
  if (state.settings.coldLimit === undefined && cold.bound === undefined) {
    return;
  }
  releaseIfUpstreamIsNewer(state);
  const before = cold.bound;
  const bound = findBound(state, at);
  cold.bound = bound;
  const isChange =
    before?.cause !== bound?.cause || before?.allowance !== bound?.allowance;
  if (!isChange) {
    return;
  }
  const reason = bound?.cause ?? 'ended';
  emit({kind: 'count', counter: 'cold_limit', reason});
  emit({
    kind: 'log',
    level: 'info',
    part: 'owner',
    message:
      bound === undefined
        ? 'Upstream no longer counts as cold; its requests are not limited.'
        : 'Upstream counts as cold; limiting its requests.',
    fields: {
      instance: state.health.registeredId,
      cause: bound?.cause ?? before?.cause,
      allowance: bound?.allowance ?? before?.allowance,
      perSecond: bound && roundToHundredths(getColdRate(bound)),
      untilWarmMs: bound && Math.round(bound.until - at),
      started: cold.starts.length,
      queued: state.work.queue.length,
    },
  });
}
