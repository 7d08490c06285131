/** Builds the rows of the fleet status from the status of its proxies. */
import * as z from 'zod';
import {SequenceSchema} from '../model/primitives.js';
import {History} from './history.js';

/** A member of the fleet, as known to the proxy that was asked. */
const MemberSchema = z.looseObject({
  id: z.string(),
  sequence: SequenceSchema,
  version: SequenceSchema,
  /** Prefix of the digest of the configuration at `sequence`. */
  digest: z.string(),
  ready: z.boolean(),
  leaving: z.boolean(),
  /** When its latest heartbeat arrived, in Unix milliseconds. */
  heardAt: z.number().optional(),
});

/** The part of a proxy's status that the command line reads. */
export const StatusSchema = z.looseObject({
  id: z.string(),
  zone: z.string(),
  ready: z.boolean(),
  sequence: SequenceSchema,
  version: SequenceSchema,
  leaving: z.boolean().default(false),
  /** When the proxy adopted the version, in Unix milliseconds. */
  adoptedAt: z.number().optional(),
  members: z.array(MemberSchema).default([]),
});

export type ProxyStatus = z.infer<typeof StatusSchema>;

/** Status of one proxy, from itself or from a peer. */
export interface FleetRow {
  readonly id: string;
  /** Undefined if neither the proxy nor the platform was asked. */
  readonly zone?: string;
  /** `asked`: the proxy answered itself. `heard`: known from a peer. */
  readonly by: 'asked' | 'heard';
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly version: number;
  readonly sequence: number;
  /**
   * When it adopted its version, in Unix milliseconds; known only for proxies
   * that were asked.
   */
  readonly since?: number;
  /** Age of the latest heartbeat that the peer received, in milliseconds. */
  readonly heardAgoMs?: number;
  /** Number of submissions that it has not applied yet. */
  readonly lag: number;
  /** Number of versions that it has not adopted yet. */
  readonly versionLag: number;
  /** Time since the first missing submission was published, in milliseconds. */
  readonly lagMs?: number;
}

/**
 * Creates the rows of a fleet.
 * @param statuses - Statuses of the proxies that were asked.
 * @param fleet - Also list the other members that these proxies know.
 * @param now - Unix milliseconds.
 * @param published - History of the published log, if it was read.
 * @returns The highest sequence seen and one row for each proxy, sorted by ID.
 */
export function createFleetRows(
  statuses: readonly ProxyStatus[],
  fleet: boolean,
  now: number,
  published: History | undefined,
): {head: number; rows: FleetRow[]} {
  const members = statuses.flatMap(status => status.members);
  const head = Math.max(
    0,
    published?.latest.sequence ?? 0,
    ...statuses.map(status => status.sequence),
    ...members.map(member => member.sequence),
  );
  const asked = statuses.map(status => createAskedRow(status));
  const heard = fleet ? createHeardRows(statuses, now, published) : [];
  const version = Math.max(
    0,
    published?.latest.version ?? 0,
    ...[...asked, ...heard].map(row => row.version),
  );
  const rows = [...asked, ...heard]
    .map(row => addLag(row, head, version, now, published))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  return {head, rows};
}

type RowWithoutLag = Omit<FleetRow, 'lag' | 'versionLag' | 'lagMs'>;

function createAskedRow(status: ProxyStatus): RowWithoutLag {
  const {id, zone, ready, leaving, version, sequence, adoptedAt} = status;
  return {
    id,
    zone,
    by: 'asked',
    ready,
    leaving,
    version,
    sequence,
    since: adoptedAt,
  };
}

/** Creates a row from the newest entry of each proxy that was not asked. */
function createHeardRows(
  statuses: readonly ProxyStatus[],
  now: number,
  published: History | undefined,
): RowWithoutLag[] {
  const askedIds = new Set(statuses.map(({id}) => id));
  const rows = new Map<string, RowWithoutLag>();
  for (const member of statuses.flatMap(status => status.members)) {
    const known = rows.get(member.id);
    const isNewer = known === undefined || member.sequence > known.sequence;
    if (!askedIds.has(member.id) && isNewer) {
      const {id, ready, leaving, version, sequence, heardAt} = member;
      rows.set(id, {
        id,
        zone: published?.latest.config.upstreams[id]?.zone,
        by: 'heard',
        ready,
        leaving,
        version,
        sequence,
        heardAgoMs: heardAt === undefined ? undefined : now - heardAt,
      });
    }
  }
  return [...rows.values()];
}

function addLag(
  row: RowWithoutLag,
  head: number,
  version: number,
  now: number,
  published: History | undefined,
): FleetRow {
  const missed = published?.outcomes.find(
    ({sequence}) => sequence === row.sequence + 1,
  );
  const publishedAt = missed?.publishedAt;
  return {
    ...row,
    lag: head - row.sequence,
    versionLag: version - row.version,
    lagMs: publishedAt === undefined ? undefined : now - publishedAt,
  };
}

/**
 * Finds the sequences at which members hold different digests. The digest of a
 * status itself is ignored because it belongs to the version in force, which
 * may be older than the sequence.
 * @param statuses - Statuses of the proxies that were asked.
 * @returns The sequences in ascending order.
 */
export function findDigestMismatches(
  statuses: readonly ProxyStatus[],
): number[] {
  const digests = new Map<number, Set<string>>();
  for (const {sequence, digest} of statuses.flatMap(({members}) => members)) {
    const known = digests.get(sequence) ?? new Set();
    digests.set(sequence, known.add(digest));
  }
  return [...digests]
    .filter(([, known]) => known.size > 1)
    .map(([sequence]) => sequence)
    .sort((a, b) => a - b);
}
