/**
 * Tells how late this process reads its sockets. A process that stood still or got
 * little processor time reads requests, and the ends of connections, long after they
 * have arrived, and nothing in a socket tells when that was.
 *
 * A turn is one pass of the event loop over the sockets that can be read. What is read
 * in a turn could not be read before the turn before it began.
 */

/** Delay of the next tick up to which the loop counts as on time, in milliseconds. */
const MAX_TICK_DELAY_MS = 20;

/** The part of a {@link TurnClock} that links and their attempts use. */
export interface ReadDelays {
  /** Marks that input is handled; the first call begins a turn. */
  enter(): void;
  /** See {@link TurnClock.getBehindMs}. */
  getBehindMs(): number;
}

export class TurnClock implements ReadDelays {
  private turnAt: number;
  private previousTurnAt: number;
  private isOpen = false;
  /** The present turn began when a tick was overdue, so its input may be old. */
  private isLate = false;
  private isEndScheduled = false;
  private hasAccepted = false;
  private hadAccepted = false;
  /** Since when connections may have waited to be accepted. */
  private connectionsWaitSince = 0;
  /** What runs at the end of this turn, and at the end of the next one. */
  private due: Array<() => void> = [];
  private next: Array<() => void> = [];

  /**
   * @param now - Returns the time in milliseconds.
   * @param getTickAt - Returns when the next tick is due, on the same clock. While
   *     nothing arrives, the loop waits until then.
   */
  constructor(
    private readonly now: () => number,
    private readonly getTickAt: () => number,
  ) {
    this.turnAt = now();
    this.previousTurnAt = this.turnAt;
  }

  /** Marks that input is handled; the first call begins a turn. */
  enter(): void {
    if (this.isOpen) {
      return;
    }
    this.isOpen = true;
    this.hadAccepted = this.hasAccepted;
    this.hasAccepted = false;
    this.previousTurnAt = this.turnAt;
    this.turnAt = this.now();
    this.isLate = this.turnAt > this.getTickAt() + MAX_TICK_DELAY_MS;
    this.scheduleEnd();
  }

  /**
   * Gets the longest time for which input that was not read yet may have been there,
   * as far as ticks show it: what is shorter than the time between two ticks may count
   * as nothing.
   * @returns Milliseconds.
   */
  getBehindMs(): number {
    const since =
      this.isOpen && this.isLate ? this.previousTurnAt : this.turnAt;
    return this.isOpen || this.isLate ? this.now() - since : 0;
  }

  /** Gets the time since a moment, in milliseconds. */
  getMsSince(at: number): number {
    return this.now() - at;
  }

  /**
   * Gets the time since the present turn began: input that is handled in it has been
   * there for about that long, or longer.
   * @returns Milliseconds; 0 between two turns.
   */
  getTurnMs(): number {
    return this.isOpen ? this.now() - this.turnAt : 0;
  }

  /**
   * Records that a connection was accepted. The loop accepts one in each turn, so others
   * may wait for many turns.
   * @returns Since when it may have waited.
   */
  recordConnection(): number {
    this.enter();
    if (!this.hadAccepted && !this.hasAccepted) {
      this.connectionsWaitSince = this.now() - this.getBehindMs();
    }
    this.hasAccepted = true;
    return this.connectionsWaitSince;
  }

  /**
   * Waits until all sockets have been looked at once more, so that the end of a
   * connection which lies behind the present input is handled first.
   * @returns A promise that is resolved at the end of the next turn.
   */
  catchUp(): Promise<void> {
    return new Promise(resolve => {
      this.next.push(resolve);
      this.scheduleEnd();
    });
  }

  private scheduleEnd(): void {
    if (!this.isEndScheduled) {
      this.isEndScheduled = true;
      setImmediate(this.end);
    }
  }

  private readonly end = () => {
    this.isOpen = false;
    this.isEndScheduled = false;
    const ready = this.due;
    this.due = this.next;
    this.next = [];
    if (this.due.length > 0) {
      this.scheduleEnd();
    }
    ready.forEach(run => run());
  };
}
