/**
 * Which zones are evacuated: a last-writer-wins register for each zone. Load pattern:
 * an operator takes a zone out of service and back, and the news of it arrives late,
 * twice and out of order, from the source and from peers.
 */
import {Evacuation} from '../../model/mesh.js';
import {EvacuationReading} from './mesh_types.js';

/** Largest number of registers; the schema of messages allows no more. */
const MAX_REGISTERS = 64;

/** Longest name of a zone; the schema of messages allows no longer one. */
const MAX_ZONE_LENGTH = 256;

export interface EvacuationRegisters {
  readonly byZone: Map<string, Evacuation>;
  /**
   * Position up to which a zone without a register is known not to be evacuated.
   * Rejects late messages about zones that were taken back before this process
   * started.
   */
  completeRevision: number;
  /** The registers as messages carry them; rebuilt on each change. */
  list: readonly Evacuation[];
}

export function createEvacuationRegisters(): EvacuationRegisters {
  return {byZone: new Map(), completeRevision: 0, list: []};
}

/** Reports whether a zone is evacuated. */
export function isZoneEvacuated(
  {byZone}: EvacuationRegisters,
  zone: string,
): boolean {
  return byZone.get(zone)?.evacuated === true;
}

/** Gets the names of the evacuated zones, sorted. */
export function getEvacuatedZones({list}: EvacuationRegisters): string[] {
  return list
    .filter(({evacuated}) => evacuated)
    .map(({zone}) => zone)
    .sort();
}

/**
 * Merges reports of zones. The order in which reports are merged doesn't matter.
 * @param registers - The registers.
 * @param reports - Reports of the source or of a peer.
 * @returns The registers that changed.
 */
export function mergeEvacuations(
  registers: EvacuationRegisters,
  reports: readonly Evacuation[],
): Evacuation[] {
  const {byZone} = registers;
  const changed = new Map<string, Evacuation>();
  for (const report of reports) {
    const {zone, revision} = report;
    const known = byZone.get(zone)?.revision ?? registers.completeRevision;
    if (revision > known && hasRegister(registers, zone)) {
      byZone.set(zone, report);
      changed.set(zone, report);
    }
  }
  if (changed.size > 0) {
    registers.list = [...byZone.values()];
  }
  return [...changed.values()];
}

/**
 * Merges what a read of the source shows. After a complete read, zones that it does
 * not list are not evacuated; this also holds after a restore, whose positions are
 * later than all earlier ones.
 * @param registers - The registers.
 * @param reading - The read.
 * @returns The registers that changed.
 */
export function mergeEvacuationReading(
  registers: EvacuationRegisters,
  {complete, revision, changes}: EvacuationReading,
): Evacuation[] {
  const changed = mergeEvacuations(registers, changes);
  if (!complete) {
    return changed;
  }
  const listed = new Set(changes.map(({zone}) => zone));
  const unlisted = registers.list
    .filter(({zone, evacuated}) => evacuated && !listed.has(zone))
    .map(({zone}) => ({zone, revision, evacuated: false}));
  changed.push(...mergeEvacuations(registers, unlisted));
  const completeRevision = Math.max(registers.completeRevision, revision);
  registers.completeRevision = completeRevision;
  return changed;
}

/**
 * Gets the highest position among reports.
 * @returns The position; 0 if there is no report.
 */
export function getLatestRevision(reports: readonly Evacuation[]): number {
  return Math.max(0, ...reports.map(({revision}) => revision));
}

/**
 * Reports whether a zone has or can get a register. Messages with an invalid name or
 * too many registers would be rejected by peers, with all else that they carry.
 */
function hasRegister({byZone}: EvacuationRegisters, zone: string): boolean {
  if (byZone.has(zone)) {
    return true;
  }
  if (zone.length === 0 || zone.length > MAX_ZONE_LENGTH) {
    return false;
  }
  if (byZone.size >= MAX_REGISTERS) {
    const released = [...byZone.values()]
      .filter(({evacuated}) => !evacuated)
      .sort((first, second) => first.revision - second.revision);
    if (released.length === 0) {
      return false;
    }
    byZone.delete(released[0].zone);
  }
  return true;
}
