/** The rows of a fleet's status, from what its proxies answered. */
import * as z from 'zod';
import {SequenceSchema} from '../model/primitives.js';
import {History} from './history.js';

const MemberSchema = z.looseObject({
  id: z.string(),
  sequence: SequenceSchema,
  version: SequenceSchema,
  /** Of the submissions up to `sequence`, shortened. */
  digest: z.string(),
  ready: z.boolean(),
  leaving: z.boolean(),
  /** When its newest heartbeat arrived, in Unix milliseconds. */
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
  /** When the version was put in force, in Unix milliseconds. */
  adoptedAt: z.number().optional(),
  members: z.array(MemberSchema).default([]),
});

export type ProxyStatus = z.infer<typeof StatusSchema>;

/** One proxy of the fleet, as it answered or as a peer described it. */
export interface FleetRow {
  readonly id: string;
  /** Undefined where neither the proxy nor the platform was asked. */
  readonly zone?: string;
  /** `asked`: it answered itself. `heard`: an asked proxy knows it. */
  readonly by: 'asked' | 'heard';
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly version: number;
  readonly sequence: number;
  /** When it put its version in force, known of asked proxies only. */
  readonly since?: number;
  /** Age of what was heard, in milliseconds. */
  readonly heardAgoMs?: number;
  /** Submissions that it has yet to fold. */
  readonly lag: number;
  /** Versions that it has yet to put in force. */
  readonly versionLag: number;
  /** Time since the first missing submission was published, in milliseconds. */
  readonly lagMs?: number;
}

/**
 * Makes the rows of a fleet.
 * @param statuses - What the asked proxies answered.
 * @param fleet - Also list the proxies that these know.
 * @param now - Unix milliseconds.
 * @param published - What is published, where it was read.
 * @returns The highest sequence seen and one row for each proxy.
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

/** Takes the newest description of each proxy that was not asked itself. */
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
 * Finds sequences at which members hold different digests. What a proxy says
 * of itself is left out: its digest belongs to the version in force, which may
 * be older than its sequence.
 * @param statuses - What the asked proxies answered.
 * @returns The sequences in rising order.
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
