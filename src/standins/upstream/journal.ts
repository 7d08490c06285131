/**
 * Journal of the requests that an upstream ran. Each change is also passed to a
 * sink at once, so that a parent process has it if the upstream crashes.
 */
import * as z from 'zod';

export const JournalEntrySchema = z.strictObject({
  /** Number of the entry within its process, starting at 1. */
  entry: z.int().min(1),
  upstreamId: z.string(),
  key: z.string().optional(),
  attemptId: z.string().optional(),
  method: z.string(),
  path: z.string(),
  /** Start of the work, in Unix milliseconds. */
  startedAt: z.number(),
  /**
   * Time at which the work took effect, in Unix milliseconds; absent while it
   * runs and if it never took effect.
   */
  finishedAt: z.number().optional(),
  /** What stopped the work before it took effect. */
  cancelled: z.enum(['client', 'deadline']).optional(),
});

/** Line on the standard output of a daemon that carries an entry. */
export const JournalLineSchema = z.strictObject({journal: JournalEntrySchema});

export type JournalEntry = z.infer<typeof JournalEntrySchema>;

/** Receives each new or changed entry. */
export type JournalSink = (entry: JournalEntry) => void;

export class Journal {
  private readonly entries = new Map<number, JournalEntry>();
  private lastEntry = 0;
  private dropped = 0;

  /**
   * @param maxEntries - Number of entries kept; older ones are dropped.
   * @param sink - Receives each new or changed entry.
   */
  constructor(
    private readonly maxEntries: number,
    private readonly sink: JournalSink,
  ) {}

  /**
   * Records the start of work.
   * @param work - The request.
   * @returns Number of the entry.
   */
  start(work: Omit<JournalEntry, 'entry'>): number {
    this.lastEntry += 1;
    this.store({...work, entry: this.lastEntry});
    if (this.entries.size > this.maxEntries) {
      this.entries.delete(this.lastEntry - this.maxEntries);
      this.dropped += 1;
    }
    return this.lastEntry;
  }

  /**
   * Records that work has taken effect.
   * @param entry - Number of the entry.
   * @param at - Time, in Unix milliseconds.
   */
  finish(entry: number, at: number): void {
    this.update(entry, {finishedAt: at});
  }

  /**
   * Records that work was stopped before it took effect.
   * @param entry - Number of the entry.
   * @param cause - What stopped it.
   */
  cancel(entry: number, cause: 'client' | 'deadline'): void {
    this.update(entry, {cancelled: cause});
  }

  /** @returns The entries kept, oldest first, and the number of dropped ones. */
  read(): {
    readonly entries: readonly JournalEntry[];
    readonly dropped: number;
  } {
    return {entries: [...this.entries.values()], dropped: this.dropped};
  }

  private update(entry: number, change: Partial<JournalEntry>): void {
    const existing = this.entries.get(entry);
    if (existing !== undefined) {
      this.store({...existing, ...change});
    }
  }

  private store(entry: JournalEntry): void {
    this.entries.set(entry.entry, entry);
    this.sink(entry);
  }
}
