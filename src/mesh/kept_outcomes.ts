/** Outcomes of ended attempts, kept for entries that resume after their link broke. */
import {AttemptOutcome} from '../core/mesh/mesh_types.js';
import {MemoryBudget} from '../proxy/memory_budget.js';
import {BodyClaim} from './body_pacer.js';
import {countHeadBytes} from './held_bytes.js';
import {Link} from './link.js';

const MAX_OUTCOMES = 256;

/** Bound on all outcomes together. */
const MAX_KEPT_BYTES = 4 * 1_048_576;

/**
 * Bound on one outcome. A larger one is kept only until it is sent whole; an entry that
 * resumes it later is told that it is lost.
 */
const MAX_OUTCOME_BYTES = 1_048_576;

export interface KeptOutcome {
  readonly outcome: AttemptOutcome;
  readonly claim: BodyClaim;
}

/** The latest outcomes, within bounds. */
export class KeptOutcomes {
  /** By attempt, oldest first. */
  private readonly kept = new Map<string, KeptOutcome & {bytes: number}>();
  private keptBytes = 0;
  /** Large outcomes that are being sent; they count where they were received. */
  private readonly unsent = new Map<string, KeptOutcome & {link: Link}>();

  /** @param budget - Counts what is kept. */
  constructor(private readonly budget: MemoryBudget) {}

  /** Keeps an outcome that is about to be sent, in place of the oldest ones. */
  keep(attemptId: string, kept: KeptOutcome, link: Link): void {
    const bytes = countOutcomeBytes(kept.outcome);
    if (bytes > MAX_OUTCOME_BYTES) {
      this.unsent.set(attemptId, {...kept, link});
      return;
    }
    this.drop(attemptId);
    this.kept.set(attemptId, {...kept, bytes});
    this.keptBytes += bytes;
    this.budget.add(bytes);
    for (const oldest of this.kept.keys()) {
      if (this.kept.size <= MAX_OUTCOMES && this.keptBytes <= MAX_KEPT_BYTES) {
        return;
      }
      this.drop(oldest);
    }
  }

  /** Returns the outcome of an attempt, if it is kept. */
  find(attemptId: string): KeptOutcome | undefined {
    return this.kept.get(attemptId) ?? this.unsent.get(attemptId);
  }

  /** Drops a large outcome that was sent whole, or that nobody waits for. */
  dropLarge(attemptId: string): void {
    this.unsent.delete(attemptId);
  }

  /** Drops the large outcomes of a closed link that no entry has resumed. */
  dropLargeOf(link: Link): void {
    for (const [attemptId, unsent] of this.unsent) {
      if (unsent.link === link) {
        this.unsent.delete(attemptId);
      }
    }
  }

  private drop(attemptId: string): void {
    const bytes = this.kept.get(attemptId)?.bytes ?? 0;
    this.kept.delete(attemptId);
    this.keptBytes -= bytes;
    this.budget.release(bytes);
  }
}

function countOutcomeBytes({result}: AttemptOutcome): number {
  return result.kind === 'answer'
    ? countHeadBytes(result.headers) + result.body.length
    : countHeadBytes({});
}
