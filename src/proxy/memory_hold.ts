/** The share of one request or connection in the memory budget. */
import {MemoryBudget} from './memory_budget.js';

/** Bytes that are counted for one request or connection. */
export class MemoryHold {
  private bytes = 0;

  constructor(private readonly budget: MemoryBudget) {}

  /** Bytes that are counted now. */
  get heldBytes(): number {
    return this.bytes;
  }

  /**
   * Reserves further bytes.
   * @returns False if there is no room.
   */
  tryAdd(bytes: number): boolean {
    const isReserved = this.budget.tryReserve(bytes);
    this.bytes += isReserved ? bytes : 0;
    return isReserved;
  }

  /** Counts further bytes that are held already. */
  add(bytes: number): void {
    this.budget.add(bytes);
    this.bytes += bytes;
  }

  /** Releases all bytes. */
  release(): void {
    this.budget.release(this.bytes);
    this.bytes = 0;
  }
}
