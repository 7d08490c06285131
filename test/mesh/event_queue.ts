/** Runs scheduled functions in the order of their times; for simulations. */

interface Scheduled {
  readonly at: number;
  /** Order of scheduling, which decides among equal times. */
  readonly turn: number;
  readonly run: () => void;
}

function isBefore(first: Scheduled, second: Scheduled): boolean {
  return (
    first.at < second.at || (first.at === second.at && first.turn < second.turn)
  );
}

/** A binary heap of scheduled functions. */
export class EventQueue {
  /** Simulated time, in milliseconds. */
  now = 0;
  private readonly heap: Scheduled[] = [];
  private turn = 0;

  after(ms: number, run: () => void): void {
    this.at(this.now + ms, run);
  }

  at(at: number, run: () => void): void {
    const {heap} = this;
    const added = {at, turn: this.turn++, run};
    let index = heap.length;
    heap.push(added);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(added, heap[parent])) {
        break;
      }
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = added;
  }

  runAll(): void {
    for (let next = this.pop(); next !== undefined; next = this.pop()) {
      this.now = next.at;
      next.run();
    }
  }

  private pop(): Scheduled | undefined {
    const {heap} = this;
    const [first] = heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return first;
    }
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) {
        child += 1;
      }
      if (child >= heap.length || !isBefore(heap[child], last)) {
        break;
      }
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = last;
    return first;
  }
}
