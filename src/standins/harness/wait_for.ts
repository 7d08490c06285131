/** Polls for conditions. */
import {setTimeout as sleep} from 'node:timers/promises';

const POLL_MS = 20;

/** Ends a run that hangs; no result depends on the value. */
const DEFAULT_TIMEOUT_MS = 30_000;

/**
 * Polls until a function returns a value.
 * @param description - The awaited condition, for the error message.
 * @param probe - Returns the value, or undefined to be called again.
 * @param timeoutMs - Longest wait.
 * @returns The value. Rejects on timeout.
 */
export async function waitFor<T>(
  description: string,
  probe: () => Promise<T | undefined> | T | undefined,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<T> {
  const timeoutAt = performance.now() + timeoutMs;
  while (performance.now() < timeoutAt) {
    const value = await probe();
    if (value !== undefined) {
      return value;
    }
    await sleep(POLL_MS);
  }
  throw new Error(
    `Timed out after ${timeoutMs} ms waiting for ${description}.`,
  );
}

/**
 * Polls until a condition is true. Rejects on timeout.
 * @param description - The awaited condition, for the error message.
 * @param condition - The condition.
 * @param timeoutMs - Longest wait.
 */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs?: number,
): Promise<void> {
  await waitFor(
    description,
    async () => (await condition()) || undefined,
    timeoutMs,
  );
}
