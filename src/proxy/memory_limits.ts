/** Divides the memory of the VM. */
import {MemoryBudget, MemoryEvent} from './memory_budget.js';

/** Memory of the smallest VMs that are supported. */
export const DEFAULT_MEMORY_MB = 250;

const BYTES_PER_MB = 1_000_000;

/**
 * What the process needs beside the budget: the runtime and the program, the state of the
 * fleet, and garbage that is collected later.
 */
const PROCESS_MB = 140;

/** Least budget: the largest request that callers may send, and ordinary ones. */
const MIN_BUDGET_MB = 96;

/** Kept for requests and answers of ordinary size. */
const KEPT_MB = 16;

/**
 * Creates the budget of a process.
 * @param memoryMb - Memory of the VM for the process.
 * @param onEvent - Called for each event, for metrics.
 */
export function createMemoryBudget(
  memoryMb: number,
  onEvent?: (event: MemoryEvent) => void,
): MemoryBudget {
  const budgetMb = Math.max(MIN_BUDGET_MB, memoryMb - PROCESS_MB);
  return new MemoryBudget(
    budgetMb * BYTES_PER_MB,
    KEPT_MB * BYTES_PER_MB,
    onEvent,
  );
}
