/** What an entry knows of each upstream's load, from answers and failures. */
import {LoadReport} from '../../model/peer.js';

/** First time that an upstream is avoided after a failure. */
const EJECTION_BASE_MS = 500;
const EJECTION_MAX_MS = 10_000;

/**
 * Time for which an upstream that said that it leaves is avoided. Membership
 * news arrives long before it ends.
 */
const LEAVING_MEMORY_MS = 10_000;

/** Time after which a load report says nothing any more. */
const REPORT_LIFETIME_MS = 2_000;

export interface UpstreamLoad {
  report?: LoadReport;
  reportedAt: number;
  /** Attempts that this entry has under way there. */
  ownAttempts: number;
  consecutiveFailures: number;
  ejectedUntil: number;
  /** Until then nothing is believed to listen there. */
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
export function getLoad(view: LoadView, upstreamId: string): UpstreamLoad {
  let load = view.get(upstreamId);
  if (load === undefined) {
    load = {
      reportedAt: 0,
      ownAttempts: 0,
      consecutiveFailures: 0,
      ejectedUntil: 0,
      downUntil: 0,
      leavingUntil: 0,
    };
    view.set(upstreamId, load);
  }
  return load;
}

/**
 * Notes the load that an owner reported.
 * @param load - The upstream's record.
 * @param report - Its load, where the owner sent one.
 * @param at - Now, in Unix milliseconds.
 */
export function noteReport(
  load: UpstreamLoad,
  report: LoadReport | undefined,
  at: number,
): void {
  if (report !== undefined) {
    load.report = report;
    load.reportedAt = at;
    load.leavingUntil = report.leaving ? at + LEAVING_MEMORY_MS : 0;
  }
}

/**
 * Notes that an upstream works, which ends an ejection.
 * @param load - The upstream's record.
 */
export function noteSuccess(load: UpstreamLoad): void {
  load.consecutiveFailures = 0;
  load.ejectedUntil = 0;
  load.downUntil = 0;
}

/**
 * Ejects an upstream after a failure, longer with each one in a row.
 * @param load - The upstream's record.
 * @param isDown - Nothing listens there, which leaves no doubt.
 * @param at - Now, in Unix milliseconds.
 */
export function noteFailure(
  load: UpstreamLoad,
  isDown: boolean,
  at: number,
): void {
  // Attempts that were under way together fail together; they count as one.
  if (at >= load.ejectedUntil) {
    const factor = 2 ** Math.min(load.consecutiveFailures, 10);
    const ejectedMs = Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * factor);
    load.consecutiveFailures += 1;
    load.ejectedUntil = at + ejectedMs;
  }
  if (isDown) {
    load.downUntil = load.ejectedUntil;
  }
}

/**
 * Estimates how busy an upstream is.
 * @param load - Its record.
 * @param slots - Its slots by the configuration.
 * @param at - Now, in Unix milliseconds.
 * @returns Requests for each slot; above 1 a new one waits.
 */
export function getUtilization(
  load: UpstreamLoad,
  slots: number,
  at: number,
): number {
  const fresh = at - load.reportedAt < REPORT_LIFETIME_MS;
  const {running = 0, queued = 0} = (fresh ? load.report : undefined) ?? {};
  return (Math.max(running + queued, load.ownAttempts) + 1) / slots;
}
