/**
 * Paces the large bodies of all links of a process. Load pattern: dozens of links that
 * send downloads over one narrow connection. Each socket holds little, but all together
 * hold megabytes, and small messages wait behind them.
 */
import {WaitingBytes} from '../core/mesh/link_backlog.js';
import {ServiceClaim, compareClaims} from '../core/mesh/service_order.js';
import {MeshAttempt} from '../model/mesh.js';
import {SendBudget} from './send_budget.js';

/**
 * Shortest timer, in milliseconds. Shorter ones would wake the process once for each
 * chunk; the budget makes up for the time.
 */
const MIN_TIMER_MS = 8;

/** What the order of a body depends on. */
export interface BodyClaim {
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** A run at another upstream waits for it. */
  readonly nested: boolean;
  /** Until then it should have arrived, on the clock of the pacer. */
  readonly aimAt: number;
}

/**
 * Claim of bodies that belong to no call: configurations for peers. They are rare, and
 * a version has to be in force in time.
 */
export const CONTROL_CLAIM: BodyClaim = {
  priority: 0,
  nested: true,
  aimAt: Infinity,
};

/**
 * Creates the claim of the bodies of an attempt that is sent or received now.
 * @param attempt - The attempt, with the time that it has left now.
 */
export function createAttemptClaim({
  priority,
  nested,
  aimMs,
}: MeshAttempt): BodyClaim {
  const aimAt = performance.now() + aimMs;
  return {priority, nested: nested === true, aimAt};
}

/** A body of which chunks are left to write. */
export interface WaitingBody {
  readonly claim: BodyClaim;
  readonly queuedAt: number;
  /** Turn by which equal bodies are ordered, in milliseconds. */
  readonly turnAt: number;
  /** Number of the last chunk in the order of all chunks of the process. */
  lastChunk: number;
  readonly unsentBytes: number;
}

/** The bodies that wait on one link. */
export interface BodySource {
  readonly waiting: readonly WaitingBody[];
  /** Whether the socket of the link takes another chunk. */
  hasRoom(): boolean;
  /** Writes one chunk and removes the body from `waiting` after its last one. */
  writeChunk(body: WaitingBody): void;
}

/** Clock and timers of the process; tests replace them. */
export interface PacerClock {
  now(): number;
  /** @returns A function that cancels the timer. */
  setTimer(callback: () => void, ms: number): () => void;
}

const PROCESS_CLOCK: PacerClock = {
  now: () => performance.now(),
  setTimer: (callback, ms) => {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  },
};

const NOTHING_WAITING: readonly WaitingBytes[] = [];

interface Candidate {
  readonly source: BodySource;
  readonly body: WaitingBody;
}

/** Lets the links of one process write chunks within its bandwidth, in order. */
export class BodyPacer {
  private readonly sources = new Set<BodySource>();
  private readonly budget: SendBudget;
  /** Set while a timer runs. */
  private cancelTimer?: () => void;
  private writing = false;
  private chunks = 0;

  /**
   * @param getMbps - Bandwidth of the VM; settings may change it.
   * @param onSent - Called with the time from {@link add} to the last chunk of a body.
   * @param clock - Clock and timers.
   */
  constructor(
    getMbps: () => number,
    private readonly onSent: (waitedMs: number) => void = () => undefined,
    private readonly clock: PacerClock = PROCESS_CLOCK,
  ) {
    this.budget = new SendBudget(getMbps);
  }

  /** Counts bytes that a link writes, chunks included. */
  countWritten(bytes: number): void {
    this.budget.spend(bytes, this.clock.now());
  }

  /** Creates the times of a body that is added now. */
  createTurn(bodyBytes: number): Pick<WaitingBody, 'queuedAt' | 'turnAt'> {
    const queuedAt = this.clock.now();
    return {queuedAt, turnAt: queuedAt + this.budget.getBytesMs(bodyBytes)};
  }

  /** Adds a source that has a body to send. */
  add(source: BodySource): void {
    this.sources.add(source);
    this.writeChunks();
  }

  /** Forgets a source, such as that of a link that has closed. */
  remove(source: BodySource): void {
    this.sources.delete(source);
    this.stopTimerIfIdle();
  }

  /** Writes the chunks that the bandwidth allows now; the rest follows by itself. */
  writeChunks(): void {
    // Writing a chunk may call this again, if a socket passes it on at once.
    if (this.writing || this.sources.size === 0) {
      return;
    }
    if (this.cancelTimer !== undefined && this.getDelayMs() > 0) {
      return;
    }
    this.writing = true;
    let next: Candidate | undefined;
    try {
      next = this.findNext();
      while (next !== undefined && this.getDelayMs() <= 0) {
        this.writeChunk(next);
        next = this.findNext();
      }
    } finally {
      this.writing = false;
    }
    if (next !== undefined) {
      this.startTimer();
    }
    this.stopTimerIfIdle();
  }

  private getDelayMs(): number {
    return this.budget.getDelayMs(this.clock.now());
  }

  private startTimer(): void {
    this.cancelTimer ??= this.clock.setTimer(
      () => {
        this.cancelTimer = undefined;
        this.writeChunks();
      },
      Math.max(MIN_TIMER_MS, this.getDelayMs()),
    );
  }

  private stopTimerIfIdle(): void {
    if (this.sources.size === 0) {
      this.cancelTimer?.();
      this.cancelTimer = undefined;
    }
  }

  private writeChunk({source, body}: Candidate): void {
    this.chunks += 1;
    body.lastChunk = this.chunks;
    source.writeChunk(body);
    if (body.unsentBytes === 0) {
      this.onSent(this.clock.now() - body.queuedAt);
    }
    if (source.waiting.length === 0) {
      this.sources.delete(source);
    }
  }

  /** Finds the first body, in order, whose link takes another chunk. */
  private findNext(): Candidate | undefined {
    const now = this.clock.now();
    let best: Candidate | undefined;
    let bestClaim: ServiceClaim | undefined;
    for (const source of this.sources) {
      if (!source.hasRoom()) {
        continue;
      }
      for (const body of source.waiting) {
        const claim = this.createClaim(body, now);
        const order =
          bestClaim === undefined || best === undefined
            ? -1
            : compareClaims(claim, bestClaim) ||
              body.lastChunk - best.body.lastChunk;
        if (order < 0) {
          best = {source, body};
          bestClaim = claim;
        }
      }
    }
    return best;
  }

  private createClaim(body: WaitingBody, now: number): ServiceClaim {
    const {claim, turnAt, unsentBytes} = body;
    const {priority, nested, aimAt} = claim;
    const missesAim = now + this.budget.getBytesMs(unsentBytes) > aimAt;
    return {priority, nested, missesAim, turnAt};
  }

  /** Lists the bytes that wait, by claim. */
  getWaiting(): readonly WaitingBytes[] {
    if (this.sources.size === 0) {
      return NOTHING_WAITING;
    }
    const now = this.clock.now();
    const groups = new Map<
      string,
      {-readonly [K in keyof WaitingBytes]: WaitingBytes[K]}
    >();
    for (const {waiting} of this.sources) {
      for (const body of waiting) {
        const {priority, nested, missesAim} = this.createClaim(body, now);
        const key = `${priority} ${nested} ${missesAim}`;
        const group = groups.get(key);
        if (group === undefined) {
          const bytes = body.unsentBytes;
          groups.set(key, {priority, nested, missesAim, bytes});
        } else {
          group.bytes += body.unsentBytes;
        }
      }
    }
    return [...groups.values()];
  }

  /** Counts the bytes that wait. */
  countWaitingBytes(): number {
    return this.getWaiting().reduce((sum, {bytes}) => sum + bytes, 0);
  }
}
