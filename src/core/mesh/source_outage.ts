/**
 * Tells from a list whether registrations may have expired because their upstreams could
 * not reach the source. The time since the last list alone does not tell it: nobody may
 * have read, or this process stood still, while the source served the upstreams. But each
 * upstream writes at every heartbeat, and each write raises the revision of the source.
 */
import {Instance} from '../../model/mesh.js';
import {FleetView} from './fleet_view.js';

/**
 * Heartbeat intervals without writes after which registrations may have expired: the
 * source expires them after three, and the last write may be one old.
 */
const EXPIRY_SUSPECTED_HEARTBEATS = 2;

/**
 * Writes of each upstream that may be missing although the source was never away: the
 * last one may be due just after the list.
 */
const TOLERATED_WRITES = 1;

/** A list of the source, as far as it matters here. */
interface Listing {
  readonly revision: number;
  readonly instances: readonly Instance[];
}

/** The writes from which a decision was made, for its log record. */
export interface OutageEvidence {
  /** Least number of writes that a source which was never away has taken. */
  readonly expectedWrites: number;
  readonly writes: number;
}

/**
 * Finds evidence that the source was away since the known list.
 * @param known - The fleet before the list is applied.
 * @param listing - The list.
 * @param ageMs - Age of what is known, in milliseconds.
 * @param heartbeatMs - Interval at which upstreams write, in milliseconds.
 * @returns The evidence; undefined if no registration can have expired unduly.
 */
export function findOutage(
  known: FleetView,
  {revision, instances}: Listing,
  ageMs: number,
  heartbeatMs: number,
): OutageEvidence | undefined {
  const isShort = ageMs <= heartbeatMs * EXPIRY_SUSPECTED_HEARTBEATS;
  if (known.revision === 0 || !Number.isFinite(ageMs) || isShort) {
    return undefined;
  }
  const writers = instances.filter(instance => hasWritten(known, instance));
  const writesOfEach = ageMs / heartbeatMs - TOLERATED_WRITES;
  const expectedWrites = Math.ceil(writers.length * writesOfEach);
  const writes = revision - known.revision;
  // Without writers there is no evidence of any write.
  return writers.length === 0 || writes < expectedWrites
    ? {expectedWrites, writes}
    : undefined;
}

/** Reports whether an upstream that was known before has written since. */
function hasWritten(known: FleetView, instance: Instance): boolean {
  const before = known.instances.get(instance.id);
  return (
    before !== undefined &&
    before.incarnation === instance.incarnation &&
    before.registeredAt === instance.registeredAt &&
    before.heartbeat < instance.heartbeat
  );
}
