/** A simulated clock that advances from one scheduled event to the next. */

interface ScheduledEvent {
  readonly at: number;
  /** Orders events with the same time by when they were scheduled. */
  readonly order: number;
  readonly run: () => void;
}

/** Event queue of a discrete-event simulation, a binary heap by time. */
export class VirtualClock {
  private readonly heap: ScheduledEvent[] = [];
  private scheduledCount = 0;

  /** @param now - The initial time, in Unix milliseconds. */
  constructor(public now: number) {}

  /**
   * Schedules a callback.
   * @param at - When to run it, in Unix milliseconds; a past time means now.
   * @param run - The callback.
   */
  schedule(at: number, run: () => void): void {
    const {heap} = this;
    this.scheduledCount += 1;
    const event = {at: Math.max(at, this.now), order: this.scheduledCount, run};
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isEarlier(event, heap[parent])) {
        break;
      }
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = event;
  }

  /**
   * Runs all events up to and including a time, and sets the clock to it.
   * @param until - The time, in Unix milliseconds.
   */
  runUntil(until: number): void {
    for (;;) {
      const [next] = this.heap;
      if (next === undefined || next.at > until) {
        this.now = until;
        return;
      }
      this.removeFirst();
      this.now = next.at;
      next.run();
    }
  }

  private removeFirst(): void {
    const {heap} = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) {
        break;
      }
      if (child + 1 < heap.length && isEarlier(heap[child + 1], heap[child])) {
        child += 1;
      }
      if (!isEarlier(heap[child], last)) {
        break;
      }
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = last;
  }
}

function isEarlier(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
