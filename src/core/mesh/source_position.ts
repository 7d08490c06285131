/**
 * Positions in the history of the source. The source may be restored from a
 * copy that lacks its latest changes; its revisions then continue from those of
 * the copy, so one revision can stand for two different states. Each restore
 * begins a new era, and positions are ordered by era first.
 */

/**
 * Revisions that fit into one era. A power of ten keeps positions readable in
 * logs: revision 1234 of era 3 is 300000001234.
 */
const REVISIONS_PER_ERA = 1e11;

/**
 * Creates a position.
 * @param era - Number of restores of the source so far.
 * @param revision - Revision within the era, below 1e11.
 * @returns A safe integer; a later position is greater.
 */
export function createPosition(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** Gets the era of a position. */
export function getEra(position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA);
}

/** Gets the revision of a position within its era. */
export function getRevision(position: number): number {
  return position % REVISIONS_PER_ERA;
}
