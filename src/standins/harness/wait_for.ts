/** Waits for conditions instead of for times. */
import {setTimeout as sleep} from 'node:timers/promises';

const POLL_MS = 20;

/** Longest wait; it ends a run that hangs and decides nothing else. */
const DEFAULT_TIMEOUT_MS = 30_000;

/**
 * Asks again and again until there is a value.
 * @param description - What is awaited, for the error.
 * @param probe - Gives the value, or undefined to be asked again.
 * @param timeoutMs - Longest wait.
 * @returns The value. Rejects after the longest wait.
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
  throw new Error(`Waited ${timeoutMs} ms in vain for ${description}.`);
}

/**
 * Asks again and again until a condition holds.
 * @param what - What is awaited, for the error.
 * @param condition - The condition.
 * @param timeoutMs - Longest wait.
 */
export async function waitUntil(
  what: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs?: number,
): Promise<void> {
  await waitFor(what, async () => (await condition()) || undefined, timeoutMs);
}
