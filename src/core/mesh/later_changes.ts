/**
 * Changes that a proxy holds although they are later than the revision of its list. The
 * pages of a list are read one after the other, so the last ones may show changes that
 * were made after the first. Until the proxy's revision has passed such a change, each of
 * its updates carries it: a peer with the same revision may lack it.
 */
import {FleetUpdate, LaterChanges} from '../../model/mesh.js';

/** A change as far as it matters here. */
interface ChangeOfOne {
  readonly id: string;
  readonly kind: string;
}

/**
 * Records which changes of an update may be later than its revision, and forgets those
 * that the revision has passed.
 * @param known - By instance, a revision that its change is not later than.
 * @param update - The update, which was just applied.
 * @param changes - What it changed.
 */
export function recordLaterChanges(
  known: Map<string, number>,
  {base, revision, later}: FleetUpdate,
  changes: readonly ChangeOfOne[],
): void {
  for (const [id, notAfter] of known) {
    if (notAfter <= revision) {
      known.delete(id);
    }
  }
  if (later === undefined || later.revision <= revision) {
    return;
  }
  const ids = new Set(later.ids);
  for (const {id, kind} of changes) {
    // A list doesn't tell when an entry was removed.
    if (ids.has(id) || (base === 0 && kind === 'removed')) {
      known.set(id, Math.max(later.revision, known.get(id) ?? 0));
    }
  }
}

/**
 * Records changes that a proxy made by itself, so that no revision stands for them. The
 * next list with a higher one carries them.
 * @param known - By instance, a revision that its change is not later than.
 * @param revision - The revision at which the changes were made.
 * @param changes - The changes.
 */
export function recordOwnChanges(
  known: Map<string, number>,
  revision: number,
  changes: readonly ChangeOfOne[],
): void {
  for (const {id} of changes) {
    known.set(id, Math.max(revision + 1, known.get(id) ?? 0));
  }
}

/**
 * Creates the part of an update that names its later changes.
 * @param known - What is recorded, by instance.
 */
export function createLaterChanges(
  known: ReadonlyMap<string, number>,
): LaterChanges | undefined {
  return known.size === 0
    ? undefined
    : {ids: [...known.keys()], revision: Math.max(...known.values())};
}
