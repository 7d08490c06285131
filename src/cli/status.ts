/** `fireflysill status`: which version each proxy holds, and how far behind. */
import {okAsync, ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {SequenceSchema} from '../model/primitives.js';
import {CliError, describeCliError, EXIT_CODES, ExitCode} from './errors.js';
import {History} from './history.js';
import {CliHost} from './host.js';
import {describeSchemaError, parseAddress} from './published_log.js';
import {renderDuration, renderTable, renderTime, Report} from './report.js';

const MemberSchema = z.looseObject({
  id: z.string(),
  zone: z.string(),
  sequence: SequenceSchema,
  version: SequenceSchema,
  digest: z.string(),
  ready: z.boolean(),
  leaving: z.boolean(),
});

/** The part of a proxy's status that the command line reads. */
const StatusSchema = z.looseObject({
  id: z.string(),
  zone: z.string(),
  ready: z.boolean(),
  sequence: SequenceSchema,
  version: SequenceSchema,
  digest: z.string(),
  /** When the version was put in force, in Unix milliseconds. */
  adoptedAt: z.number().optional(),
  members: z.array(MemberSchema).default([]),
});

type ProxyStatus = z.infer<typeof StatusSchema>;

/** One proxy of the fleet, as it answered or as a peer described it. */
export interface FleetRow {
  readonly id: string;
  readonly zone: string;
  /** `asked`: it answered itself. `heard`: an asked proxy knows it. */
  readonly by: 'asked' | 'heard';
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly version: number;
  readonly sequence: number;
  readonly digest: string;
  readonly since?: number;
  /** Submissions that it has yet to fold. */
  readonly lag: number;
  /** Time since the first of these was published, in milliseconds. */
  readonly lagMs?: number;
}

interface UnreachableProxy {
  readonly address: string;
  readonly error: CliError;
}

/** What a proxy is compared with. */
export interface StatusQuery {
  /** Operators' addresses of proxies. */
  readonly addresses: readonly string[];
  /** Also list the proxies that the asked ones know. */
  readonly fleet: boolean;
  /** What is published, where the operator gave a source. */
  readonly published?: History;
}

type ProxyAnswer =
  | {readonly kind: 'status'; readonly status: ProxyStatus}
  | ({readonly kind: 'unreachable'} & UnreachableProxy);

function askProxy(
  host: CliHost,
  address: string,
): ResultAsync<ProxyAnswer, CliError> {
  return host
    .getJson(address, '/v1/status')
    .map((value): ProxyAnswer => parseStatus(address, value))
    .orElse(detail => {
      const error: CliError = {kind: 'unreachable', address, detail};
      return okAsync<ProxyAnswer, CliError>({
        kind: 'unreachable',
        address,
        error,
      });
    });
}

function parseStatus(address: string, value: unknown): ProxyAnswer {
  const parsed = StatusSchema.safeParse(value);
  if (parsed.success) {
    return {kind: 'status', status: parsed.data};
  }
  const detail = describeSchemaError(parsed.error);
  const error: CliError = {kind: 'answer_invalid', address, detail};
  return {kind: 'unreachable', address, error};
}

/**
 * Asks proxies for their status and compares them.
 * @param host - The machine.
 * @param query - Whom to ask and what to compare with.
 * @returns One row for each proxy. Exit code 3 where one did not answer, 1
 * where one that stays lags, is not ready or disagrees on the digest, 0
 * otherwise.
 */
export function reportStatus(
  host: CliHost,
  query: StatusQuery,
): ResultAsync<Report, CliError> {
  const checked = query.addresses.map(address =>
    parseAddress(address).asyncAndThen(valid => askProxy(host, valid)),
  );
  return ResultAsync.combine(checked).map(answers => {
    const statuses = answers.flatMap(answer =>
      answer.kind === 'status' ? [answer.status] : [],
    );
    const unreachable = answers.flatMap(answer =>
      answer.kind === 'unreachable' ? [answer] : [],
    );
    return createReport(host.now(), query, statuses, unreachable);
  });
}

function createReport(
  now: number,
  query: StatusQuery,
  statuses: readonly ProxyStatus[],
  unreachable: readonly UnreachableProxy[],
): Report {
  const members = statuses.flatMap(status => status.members);
  const head = Math.max(
    0,
    query.published?.latest.sequence ?? 0,
    ...statuses.map(status => status.sequence),
    ...members.map(member => member.sequence),
  );
  const asked = statuses.map(status => createAskedRow(status));
  const heard = query.fleet ? createHeardRows(statuses) : [];
  const rows = [...asked, ...heard]
    .map(row => addLag(row, head, now, query.published))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  const disagreeing = findDisagreement(rows);
  const failed = unreachable.map(({address, error}) => ({
    address,
    message: describeCliError(error),
  }));
  return {
    exitCode: chooseExitCode(rows, failed.length, disagreeing),
    data: {head, proxies: rows, unreachable: failed, disagreeing},
    text: [
      ...(rows.length > 0 ? [renderRows(rows)] : []),
      `Highest sequence seen: ${head}.`,
      ...disagreeing.map(
        sequence =>
          `Proxies disagree on the digest at sequence ${sequence}; compare their releases.`,
      ),
      ...failed.map(({message}) => message),
    ].join('\n'),
  };
}

type RowWithoutLag = Omit<FleetRow, 'lag' | 'lagMs'>;

function createAskedRow(status: ProxyStatus): RowWithoutLag {
  const {id, zone, ready, version, sequence, digest, adoptedAt} = status;
  const self = status.members.find(member => member.id === id);
  return {
    id,
    zone,
    by: 'asked',
    ready,
    leaving: self?.leaving ?? false,
    version,
    sequence,
    digest,
    since: adoptedAt,
  };
}

/** Takes the newest description of each proxy that was not asked itself. */
function createHeardRows(statuses: readonly ProxyStatus[]): RowWithoutLag[] {
  const askedIds = new Set(statuses.map(({id}) => id));
  const rows = new Map<string, RowWithoutLag>();
  for (const member of statuses.flatMap(status => status.members)) {
    const known = rows.get(member.id);
    const isNewer = known === undefined || member.sequence > known.sequence;
    if (!askedIds.has(member.id) && isNewer) {
      const {id, zone, ready, leaving, version, sequence, digest} = member;
      rows.set(id, {
        id,
        zone,
        by: 'heard',
        ready,
        leaving,
        version,
        sequence,
        digest,
      });
    }
  }
  return [...rows.values()];
}

function addLag(
  row: RowWithoutLag,
  head: number,
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
    lagMs: publishedAt === undefined ? undefined : now - publishedAt,
  };
}

/** Sequences at which two proxies hold different digests. */
function findDisagreement(rows: readonly FleetRow[]): number[] {
  const digests = new Map<number, Set<string>>();
  for (const {sequence, digest} of rows) {
    const known = digests.get(sequence) ?? new Set();
    digests.set(sequence, known.add(digest));
  }
  return [...digests]
    .filter(([, known]) => known.size > 1)
    .map(([sequence]) => sequence)
    .sort((a, b) => a - b);
}

function chooseExitCode(
  rows: readonly FleetRow[],
  unreachable: number,
  disagreeing: readonly number[],
): ExitCode {
  if (unreachable > 0) {
    return EXIT_CODES.unreachable;
  }
  const isBehind = rows.some(
    row => !row.leaving && (row.lag > 0 || !row.ready),
  );
  return isBehind || disagreeing.length > 0
    ? EXIT_CODES.negative
    : EXIT_CODES.ok;
}

function renderRows(rows: readonly FleetRow[]): string {
  return renderTable(
    ['proxy', 'zone', 'by', 'state', 'version', 'sequence', 'since', 'lag'],
    rows.map(row => [
      row.id,
      row.zone,
      row.by,
      renderState(row),
      row.version,
      row.sequence,
      renderTime(row.since),
      renderLag(row),
    ]),
  );
}

function renderState(row: FleetRow): string {
  if (row.leaving) {
    return 'leaving';
  }
  return row.ready ? 'ready' : 'not ready';
}

function renderLag({lag, lagMs}: FleetRow): string {
  if (lag === 0) {
    return 'none';
  }
  const count = `${lag} submission${lag === 1 ? '' : 's'}`;
  return lagMs === undefined ? count : `${count}, ${renderDuration(lagMs)}`;
}
