/**
 * Load and health of upstreams as an entry sees them, from load reports,
 * answers and failures.
 */
import {LoadReport} from '../../model/peer.js';

/** Duration of an ejection; doubles with each consecutive failure. */
const EJECTION_BASE_MS = 500;
const EJECTION_MAX_MS = 10_000;

/**
 * Consecutive timeouts after which an upstream is ejected. A single one may
 * only mean that the caller's deadline was short.
 */
const TIMEOUTS_TO_EJECT = 3;

/**
 * Time for which an upstream that reported itself as leaving is avoided, unless
 * the membership confirms it meanwhile. If it no longer leaves, or its health
 * endpoint was misleading, a later attempt detects that at no cost.
 */
const LEAVING_LIFETIME_MS = 2_000;

/** Age from which a load report is ignored. */
const REPORT_LIFETIME_MS = 2_000;

/** Load and health of one upstream, as seen by one entry. */
export interface UpstreamLoad {
  report?: LoadReport;
  reportedAt: number;
  /** Attempts of this entry that are in progress there. */
  ownAttempts: number;
  /** Number of these that the last report may include. */
  reportedAttempts: number;
  consecutiveFailures: number;
  consecutiveTimeouts: number;
  ejectedUntil: number;
  /**
   * Until then, the upstream is presumed to refuse connections, so an attempt
   * sent there certainly does not run.
   */
  downUntil: number;
  /** Until then, the upstream counts as leaving by its own report. */
  leavingUntil: number;
}

export type LoadView = Map<string, UpstreamLoad>;

/**
 * Returns the record of an upstream, after creating it if there is none.
 * @param view - The view.
 * @param upstreamId - The upstream.
 * @returns The record, which the caller may change.
 */
export function getOrCreateLoad(
  view: LoadView,
  upstreamId: string,
): UpstreamLoad {
  let load = view.get(upstreamId);
  if (load === undefined) {
    load = {
      reportedAt: 0,
      ownAttempts: 0,
      reportedAttempts: 0,
      consecutiveFailures: 0,
      consecutiveTimeouts: 0,
      ejectedUntil: 0,
      downUntil: 0,
      leavingUntil: 0,
    };
    view.set(upstreamId, load);
  }
  return load;
}

/**
 * Records that an upstream answered, which ends an ejection.
 * @param load - The upstream's record.
 */
export function recordSuccess(load: UpstreamLoad): void {
  load.consecutiveFailures = 0;
  load.consecutiveTimeouts = 0;
  load.ejectedUntil = 0;
  load.downUntil = 0;
}

/**
 * Records the load that an owner reported with an answer or refusal.
 * @param load - The upstream's record.
 * @param report - Its load, if it was reported.
 * @param at - Now, in Unix milliseconds.
 */
export function recordLoadReport(
  load: UpstreamLoad,
  report: LoadReport | undefined,
  at: number,
): void {
  if (report !== undefined) {
    load.report = report;
    load.reportedAt = at;
    load.reportedAttempts = load.ownAttempts;
    load.leavingUntil = report.leaving ? at + LEAVING_LIFETIME_MS : 0;
  }
}

/**
 * Ejects an upstream after a failure, for longer with each consecutive one.
 * @param load - The upstream's record.
 * @param at - Now, in Unix milliseconds.
 */
export function recordFailure(load: UpstreamLoad, at: number): void {
  // Concurrent attempts fail together; they count as one failure.
  if (at < load.ejectedUntil) {
    return;
  }
  const factor = 2 ** Math.min(load.consecutiveFailures, 10);
  load.consecutiveFailures += 1;
  load.ejectedUntil = at + Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * factor);
}

/**
 * Ejects an upstream that refused a connection.
 * @param load - The upstream's record.
 * @param at - Now, in Unix milliseconds.
 */
export function recordConnectionRefused(load: UpstreamLoad, at: number): void {
  recordFailure(load, at);
  load.downUntil = load.ejectedUntil;
}

/**
 * Records a timeout, and ejects the upstream after several consecutive ones.
 * @param load - The upstream's record.
 * @param at - Now, in Unix milliseconds.
 */
export function recordTimeout(load: UpstreamLoad, at: number): void {
  load.consecutiveTimeouts += 1;
  if (load.consecutiveTimeouts >= TIMEOUTS_TO_EJECT) {
    recordFailure(load, at);
  }
}

/**
 * Reports whether an upstream should be avoided: during its ejection, and after
 * that while a first attempt probes whether it has recovered.
 * @param load - The upstream's record.
 * @param at - Now, in Unix milliseconds.
 * @returns True if other upstreams are preferable.
 */
export function isEjected(load: UpstreamLoad, at: number): boolean {
  const isProbing = load.consecutiveFailures > 0 && load.ownAttempts > 0;
  return load.ejectedUntil > at || isProbing;
}

/**
 * Reports whether an upstream is presumed to be able to run an attempt.
 * @param load - The upstream's record.
 * @param at - Now, in Unix milliseconds.
 * @returns False while it is ejected or down.
 */
export function isPresumedHealthy(load: UpstreamLoad, at: number): boolean {
  return !isEjected(load, at) && load.downUntil <= at;
}

/**
 * Returns the time that requests take at an upstream.
 * @param load - The upstream's record.
 * @returns Milliseconds, or undefined if no report included it.
 */
export function getServiceTimeMs(load: UpstreamLoad): number | undefined {
  return load.report?.serviceTimeMs;
}

/**
 * Estimates the number of requests that run or wait at an upstream.
 * @param load - Its record.
 * @param at - Now, in Unix milliseconds.
 * @returns Requests in the last report plus attempts sent since.
 */
export function estimateInFlight(load: UpstreamLoad, at: number): number {
  const fresh = at - load.reportedAt < REPORT_LIFETIME_MS;
  const report = fresh ? load.report : undefined;
  if (report === undefined) {
    return load.ownAttempts;
  }
  const sentSince = Math.max(0, load.ownAttempts - load.reportedAttempts);
  const {running, queued} = report;
  return Math.max(running + queued + sentSince, load.ownAttempts);
}

/**
 * Estimates how busy an upstream is.
 * @param load - Its record.
 * @param slots - Its configured slots.
 * @param at - Now, in Unix milliseconds.
 * @returns Requests per slot, including a new one; above 1 it has to wait.
 */
export function estimateUtilization(
  load: UpstreamLoad,
  slots: number,
  at: number,
): number {
  const fresh = at - load.reportedAt < REPORT_LIFETIME_MS;
  const report = fresh ? load.report : undefined;
  if (report === undefined) {
    return (load.ownAttempts + 1) / slots;
  }
  // During a slow start, an upstream offers fewer slots than configured.
  return (estimateInFlight(load, at) + 1) / Math.max(1, report.slots);
}
