/** What an entry knows of each upstream's load, from answers and failures. */
import {LoadReport} from '../../model/peer.js';

/** First time that an upstream is avoided after a failure. */
const EJECTION_BASE_MS = 500;
const EJECTION_MAX_MS = 10_000;

/**
 * Timeouts in a row after which an upstream is avoided. One may only mean
 * that its caller was in a hurry.
 */
const TIMEOUTS_TO_EJECT = 3;

/**
 * Time for which an upstream that said that it leaves is avoided, until
 * membership news takes over. Where it has changed its mind, or its health
 * endpoint misled it, one attempt after that finds out at no cost.
 */
const LEAVING_LIFETIME_MS = 2_000;

/** Time after which a load report says nothing any more. */
const REPORT_LIFETIME_MS = 2_000;

export interface UpstreamLoad {
  report?: LoadReport;
  reportedAt: number;
  /** Attempts that this entry has under way there. */
  ownAttempts: number;
  /** Of these, the attempts that the last report may have counted. */
  reportedAttempts: number;
  consecutiveFailures: number;
  consecutiveTimeouts: number;
  ejectedUntil: number;
  /** Until then nothing is believed to listen there, which leaves no doubt. */
  downUntil: number;
  /** Until then the upstream's own word that it leaves counts. */
  leavingUntil: number;
}

export type LoadView = Map<string, UpstreamLoad>;

/**
 * Gets an upstream's record, making an empty one where there is none.
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
 * Notes that an upstream is well, which ends an ejection.
 * @param load - The upstream's record.
 */
export function recordSuccess(load: UpstreamLoad): void {
  load.consecutiveFailures = 0;
  load.consecutiveTimeouts = 0;
  load.ejectedUntil = 0;
  load.downUntil = 0;
}

/**
 * Notes the load that an owner reported with an answer or refusal.
 * @param load - The upstream's record.
 * @param report - Its load, where there was one.
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
 * Ejects an upstream after a failure, longer with each one in a row.
 * @param load - The upstream's record.
 * @param at - Now, in Unix milliseconds.
 */
export function recordFailure(load: UpstreamLoad, at: number): void {
  // Attempts that were under way together fail together; they count as one.
  if (at < load.ejectedUntil) {
    return;
  }
  const factor = 2 ** Math.min(load.consecutiveFailures, 10);
  load.consecutiveFailures += 1;
  load.ejectedUntil = at + Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * factor);
}

/**
 * Ejects an upstream where a connection was refused.
 * @param load - The upstream's record.
 * @param at - Now, in Unix milliseconds.
 */
export function recordConnectionRefused(load: UpstreamLoad, at: number): void {
  recordFailure(load, at);
  load.downUntil = load.ejectedUntil;
}

/**
 * Ejects an upstream after several timeouts in a row.
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
 * Tells whether an upstream is avoided: for a time after a failure, and after
 * that while a first attempt tells whether it is well again.
 * @param load - The upstream's record.
 * @param at - Now, in Unix milliseconds.
 * @returns True where others are to be preferred.
 */
export function isEjected(load: UpstreamLoad, at: number): boolean {
  const isProbing = load.consecutiveFailures > 0 && load.ownAttempts > 0;
  return load.ejectedUntil > at || isProbing;
}

/**
 * Tells whether nothing speaks against sending an attempt to an upstream.
 * @param load - The upstream's record.
 * @param at - Now, in Unix milliseconds.
 * @returns False while it is ejected or down.
 */
export function isPresumedHealthy(load: UpstreamLoad, at: number): boolean {
  return !isEjected(load, at) && load.downUntil <= at;
}

/**
 * Gets the time that requests take at an upstream.
 * @param load - The upstream's record.
 * @returns Milliseconds, or undefined where no report told it.
 */
export function getServiceTimeMs(load: UpstreamLoad): number | undefined {
  return load.report?.serviceTimeMs;
}

/**
 * Estimates the requests that an upstream has, running or waiting.
 * @param load - Its record.
 * @param at - Now, in Unix milliseconds.
 * @returns Requests by the last report and by what was sent since.
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
 * @param slots - Its slots by the configuration.
 * @param at - Now, in Unix milliseconds.
 * @returns Requests for each slot; above 1 a new one waits.
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
  // A cold upstream offers fewer slots than the configuration says.
  return (estimateInFlight(load, at) + 1) / Math.max(1, report.slots);
}
