/** The evacuations that a simulated source stores. */
import {EvacuationReading} from '../../../src/core/mesh/mesh_types.js';
import {
  createPosition,
  getRevision,
} from '../../../src/core/mesh/source_position.js';
import {Evacuation} from '../../../src/model/mesh.js';

export class EvacuationStore {
  /** All changes, the earliest first. */
  private changes: Evacuation[] = [];

  set(zone: string, evacuated: boolean, revision: number): void {
    this.changes.push({zone, evacuated, revision});
  }

  /** Gets the names of the zones that are evacuated now. */
  getZones(): string[] {
    return this.listCurrent().map(({zone}) => zone);
  }

  /** Reads the evacuated zones. */
  read(revision: number): EvacuationReading {
    return {complete: true, revision, changes: this.listCurrent()};
  }

  /** Reads the changes after a position, as a long poll does. */
  readAfter(after: number, revision: number): EvacuationReading {
    const changes = this.changes.filter(change => change.revision > after);
    return {complete: false, revision, changes};
  }

  /** Keeps the changes up to a position of the era before, in a new era. */
  restore(copyRevision: number, era: number): void {
    this.changes = this.changes
      .filter(({revision}) => revision <= copyRevision)
      .map(change => ({
        ...change,
        revision: createPosition(era, getRevision(change.revision)),
      }));
  }

  private listCurrent(): Evacuation[] {
    const latest = new Map(this.changes.map(change => [change.zone, change]));
    return [...latest.values()].filter(({evacuated}) => evacuated);
  }
}
