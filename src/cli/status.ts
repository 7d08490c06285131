/** The `status` command: shows the version and the lag of each proxy. */
import {okAsync, ResultAsync} from 'neverthrow';
import {CliError, describeCliError, EXIT_CODES, ExitCode} from './errors.js';
import {
  createFleetRows,
  findDigestMismatches,
  FleetRow,
  ProxyStatus,
  StatusSchema,
} from './fleet_rows.js';
import {History} from './history.js';
import {CliHost} from './host.js';
import {describeSchemaError, parseAddress} from './published_log.js';
import {renderDuration, renderTable, renderTime, Report} from './report.js';

/** A proxy that did not answer, or whose response is invalid. */
interface UnreachableProxy {
  readonly address: string;
  readonly error: CliError;
}

/** Arguments of the `status` command. */
export interface StatusQuery {
  /** Addresses of proxies, on the port for operators. */
  readonly addresses: readonly string[];
  /** Also list the other members that these proxies know. */
  readonly fleet: boolean;
  /** History of the published log, if `--source` was given. */
  readonly published?: History;
}

/** Outcome of the request for a proxy's status. */
type ProxyResult =
  | {readonly kind: 'status'; readonly status: ProxyStatus}
  | ({readonly kind: 'unreachable'} & UnreachableProxy);

function queryProxy(
  host: CliHost,
  address: string,
): ResultAsync<ProxyResult, CliError> {
  return host
    .getJson(address, '/v1/status')
    .map((value): ProxyResult => parseStatus(address, value))
    .orElse(detail => {
      const error: CliError = {kind: 'unreachable', address, detail};
      return okAsync<ProxyResult, CliError>({
        kind: 'unreachable',
        address,
        error,
      });
    });
}

function parseStatus(address: string, value: unknown): ProxyResult {
  const parsed = StatusSchema.safeParse(value);
  if (parsed.success) {
    return {kind: 'status', status: parsed.data};
  }
  const detail = describeSchemaError(parsed.error);
  const error: CliError = {kind: 'answer_invalid', address, detail};
  return {kind: 'unreachable', address, error};
}

/**
 * Requests the status of proxies and compares them.
 * @param host - Access to the network and the clock.
 * @param query - The proxies, and the log to compare them with.
 * @returns One row for each proxy. The exit code is 3 if a proxy did not
 * answer; otherwise 1 if a proxy that is not leaving lags or is not ready, or
 * if digests differ; otherwise 0.
 */
export function reportStatus(
  host: CliHost,
  query: StatusQuery,
): ResultAsync<Report, CliError> {
  const requests = query.addresses.map(address =>
    parseAddress(address).asyncAndThen(valid => queryProxy(host, valid)),
  );
  return ResultAsync.combine(requests).map(results => {
    const statuses = results.flatMap(result =>
      result.kind === 'status' ? [result.status] : [],
    );
    const unreachable = results.flatMap(result =>
      result.kind === 'unreachable' ? [result] : [],
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
  const {head, rows} = createFleetRows(
    statuses,
    query.fleet,
    now,
    query.published,
  );
  const disagreeing = findDigestMismatches(statuses);
  const failed = unreachable.map(({address, error}) => ({
    address,
    message: describeCliError(error),
  }));
  return {
    exitCode: getStatusExitCode(rows, failed.length, disagreeing),
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

function getStatusExitCode(
  rows: readonly FleetRow[],
  unreachable: number,
  disagreeing: readonly number[],
): ExitCode {
  if (unreachable > 0) {
    return EXIT_CODES.unreachable;
  }
  const isBehind = rows.some(
    row => !row.leaving && (row.lag > 0 || row.versionLag > 0 || !row.ready),
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
      row.zone ?? 'unknown',
      row.by,
      renderState(row),
      row.version,
      row.sequence,
      renderSince(row),
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

function renderSince({since, heardAgoMs}: FleetRow): string {
  return heardAgoMs === undefined
    ? renderTime(since)
    : `heard ${renderDuration(heardAgoMs)} ago`;
}

function renderLag({lag, versionLag, lagMs}: FleetRow): string {
  const parts: string[] = [];
  if (lag > 0) {
    parts.push(`${lag} submission${lag === 1 ? '' : 's'}`);
  }
  if (versionLag > 0) {
    parts.push(`${versionLag} version${versionLag === 1 ? '' : 's'}`);
  }
  if (lagMs !== undefined) {
    parts.push(renderDuration(lagMs));
  }
  return parts.join(', ') || 'none';
}
