/**
 * Keeps a slot of an upstream for the calls that runs elsewhere make. Load pattern:
 * two services are short of slots, and the runs of one call the other. A nested call
 * that arrives while long runs have all slots waits for the end of one, and the run
 * that waits for it holds its own slot without working.
 */
import {MeshAttempt} from '../../model/mesh.js';

/**
 * Time for which a slot is kept after a nested call found none, while other requests
 * waited for the slot of the run that made it.
 */
const KEPT_MS = 2_500;

/** Fewest slots of which one is kept; of fewer, it would be too large a share. */
const MIN_SLOTS = 4;

export interface NestedRoom {
  /** Until then, other attempts leave one slot free, in milliseconds. */
  keptUntil: number;
}

export function createNestedRoom(): NestedRoom {
  return {keptUntil: -Infinity};
}

/** Keeps a slot, because a nested call whose run's slot is wanted found none. */
export function keepSlot(room: NestedRoom, at: number): void {
  room.keptUntil = at + KEPT_MS;
}

/**
 * Gets the slots that an attempt may use.
 * @param room - The upstream's room.
 * @param attempt - The attempt.
 * @param slots - The upstream's slots.
 * @param at - Now, in milliseconds.
 * @returns All, or one fewer while one is kept and the attempt is not nested.
 */
export function getUsableSlots(
  {keptUntil}: NestedRoom,
  {nested}: MeshAttempt,
  slots: number,
  at: number,
): number {
  const isKept = nested !== true && at < keptUntil && slots >= MIN_SLOTS;
  return isKept ? slots - 1 : slots;
}
