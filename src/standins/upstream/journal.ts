/**
 * Record of what an upstream ran. Each change is also passed on at once, so
 * that a parent process has it when the upstream crashes.
 */
import * as z from 'zod';

export const JournalEntrySchema = z.strictObject({
  /** Number of the entry within one process, from 1. */
  entry: z.int().min(1),
  upstreamId: z.string(),
  key: z.string().optional(),
  attemptId: z.string().optional(),
  method: z.string(),
  path: z.string(),
  /** Unix milliseconds. */
  startedAt: z.number(),
  /** When the work took effect; absent while running or where it did not. */
  finishedAt: z.number().optional(),
  /** Why the work was stopped before its effect. */
  cancelled: z.enum(['client', 'deadline']).optional(),
});

/** One line of a daemon's standard output. */
export const JournalLineSchema = z.strictObject({journal: JournalEntrySchema});

export type JournalEntry = z.infer<typeof JournalEntrySchema>;

/** Receives each new or changed entry. */
export type JournalSink = (entry: JournalEntry) => void;

export class Journal {
  private readonly entries = new Map<number, JournalEntry>();
  private lastEntry = 0;
  private dropped = 0;

  /**
   * @param maxEntries - Entries kept; older ones are dropped.
   * @param sink - Receives each new or changed entry.
   */
  constructor(
    private readonly maxEntries: number,
    private readonly sink: JournalSink,
  ) {}

  /**
   * Records that work has started.
   * @param work - The work.
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
   * @param at - Unix milliseconds.
   */
  finish(entry: number, at: number): void {
    this.update(entry, {finishedAt: at});
  }

  /**
   * Records that work was stopped before its effect.
   * @param entry - Number of the entry.
   * @param cause - Why.
   */
  cancel(entry: number, cause: 'client' | 'deadline'): void {
    this.update(entry, {cancelled: cause});
  }

  /** @returns The entries kept, oldest first, and how many were dropped. */
  read(): {
    readonly entries: readonly JournalEntry[];
    readonly dropped: number;
  } {
    return {entries: [...this.entries.values()], dropped: this.dropped};
  }

  private update(entry: number, change: Partial<JournalEntry>): void {
    const known = this.entries.get(entry);
    if (known !== undefined) {
      this.store({...known, ...change});
    }
  }

  private store(entry: JournalEntry): void {
    this.entries.set(entry.entry, entry);
    this.sink(entry);
  }
}
