/** What a proxy notes of its reads of the source, and of what they proved. */

/** First and longest wait after reads that failed, in milliseconds. */
const BACKOFF_BASE_MS = 400;
const BACKOFF_MAX_MS = 2_000;

/**
 * Age from which an answer without news is believed: the source may deliver
 * nothing for a second while changes are made.
 */
const CERTAIN_AFTER_MS = 2_500;

/** A revision at which the source had no later version to tell. */
interface ConfigMark {
  readonly at: number;
  readonly revision: number;
}

export interface SourceSchedule {
  /** When what is known was last true at the source, in milliseconds. */
  freshAt: number;
  /** When this proxy itself last read the source. */
  readAt: number;
  reading: boolean;
  failures: number;
  /** No read before this time, after a failure. */
  notBefore: number;
  /** Revision up to which no version can have been missed; 0: none known. */
  configRevision: number;
  /** Later revisions, not yet old enough to be certain. */
  marks: ConfigMark[];
  /** A read of the configuration, or a wait for the next, is under way. */
  awaitingConfig: boolean;
  /** When the wait for the next version began. */
  configAskedAt: number;
  /** No read of the configuration before this time. */
  configNotBefore: number;
  /** When the fleet was first known. */
  firstListedAt?: number;
  /** Counts the news that were told. */
  turn: number;
  /** Since when the source has not answered this proxy. */
  lostAt?: number;
}

export function createSourceSchedule(): SourceSchedule {
  return {
    freshAt: -Infinity,
    readAt: -Infinity,
    reading: false,
    failures: 0,
    notBefore: 0,
    configRevision: 0,
    marks: [],
    awaitingConfig: false,
    configAskedAt: -Infinity,
    configNotBefore: 0,
    turn: 0,
  };
}

/** Notes a revision at which there was no later version. */
export function noteConfigMark(
  schedule: SourceSchedule,
  revision: number,
  at: number,
): void {
  schedule.marks.push({at, revision});
  while (
    schedule.marks.length > 0 &&
    at - schedule.marks[0].at >= CERTAIN_AFTER_MS
  ) {
    const [mark] = schedule.marks.splice(0, 1);
    schedule.configRevision = Math.max(schedule.configRevision, mark.revision);
  }
}

/**
 * Notes a failed read: the next one waits longer, by a random part of a span
 * that doubles.
 */
export function noteReadFailed(
  schedule: SourceSchedule,
  at: number,
  entropy: number,
): void {
  schedule.reading = false;
  schedule.failures += 1;
  schedule.lostAt ??= at;
  const doubled = BACKOFF_BASE_MS * 2 ** Math.min(schedule.failures, 8);
  const spanMs = Math.min(BACKOFF_MAX_MS, doubled);
  schedule.notBefore = at + spanMs * (0.5 + entropy / 2 ** 33);
}

export function noteReadAnswered(schedule: SourceSchedule, at: number): void {
  schedule.reading = false;
  schedule.failures = 0;
  schedule.notBefore = 0;
  schedule.lostAt = undefined;
  schedule.freshAt = at;
  schedule.readAt = at;
}
