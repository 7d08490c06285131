/**
 * A list of the source that is read page by page. Pages are no snapshot: each shows the
 * source at a moment of its own.
 */
import {
  createPosition,
  getEra,
  getRevision,
} from '../core/mesh/source_position.js';
import {LaterChanges} from '../model/mesh.js';

/** An entry with the revision of its last change. */
interface ListedItem {
  readonly revision: number;
}

/** The pages that were read so far. */
export class PagedList<T extends ListedItem> {
  readonly items: T[] = [];
  private lowest = Infinity;
  private highest = 0;

  /**
   * The position up to which no change is missing: the lowest of the pages', so that the
   * next read includes whatever changed in the meantime. Of pages that may be stale, a
   * later one may have it.
   */
  get revision(): number {
    return this.lowest;
  }

  /**
   * Adds a page, unless the source was restored since the first one.
   * @param era - The era of the source that the page states.
   * @param revision - The revision that it states.
   * @param items - Its items.
   * @returns Whether it was added; if not, the pages do not belong together.
   */
  tryAdd(era: number, revision: number, items: readonly T[]): boolean {
    if (this.highest > 0 && era !== getEra(this.highest)) {
      return false;
    }
    const position = createPosition(era, revision);
    this.lowest = Math.min(this.lowest, position);
    this.highest = Math.max(this.highest, position);
    this.items.push(...items);
    return true;
  }

  /**
   * Finds the items that were written after {@link revision}.
   * @param getId - Gets the id of an item.
   * @returns Their ids, or undefined where all pages show one moment.
   */
  findLater(getId: (item: T) => string): LaterChanges | undefined {
    if (this.highest === this.lowest) {
      return undefined;
    }
    const known = getRevision(this.lowest);
    const ids = this.items.filter(({revision}) => revision > known).map(getId);
    return {ids, revision: this.highest};
  }
}
