/** Reads the published submissions from the platform or from a file. */
import {err, errAsync, ok, okAsync, Result, ResultAsync} from 'neverthrow';
import * as z from 'zod';
import {Submission, SubmissionSchema} from '../model/config.js';
import {FoldState, FoldStateSchema} from '../model/fold_state.js';
import {WatchAnswer, WatchAnswerSchema} from '../model/platform.js';
import {AddressSchema} from '../model/primitives.js';
import {CliError} from './errors.js';
import {CliHost} from './host.js';

/** Where to read the submissions from. */
export type LogOrigin =
  | {readonly kind: 'file'; readonly path: string}
  | {readonly kind: 'source'; readonly address: string};

/** All submissions, or a saved state that they were folded into. */
export type PublishedLog =
  | {readonly kind: 'submissions'; readonly submissions: readonly Submission[]}
  | {readonly kind: 'state'; readonly state: FoldState};

const SubmissionListSchema = z.array(SubmissionSchema);

/**
 * Describes the first issue of a failed schema validation.
 * @param error - The validation error.
 * @returns The path of the invalid value, followed by the message.
 */
export function describeSchemaError(error: z.ZodError): string {
  const issue = error.issues[0];
  const path = issue.path.join('.') || 'the top level';
  return `${path} (${issue.message})`;
}

/**
 * Validates an address from the command line.
 * @param address - The address.
 * @returns The address, or a `bad_address` error.
 */
export function parseAddress(address: string): Result<string, CliError> {
  return AddressSchema.safeParse(address).success
    ? ok(address)
    : err({kind: 'bad_address', address});
}

/**
 * Reads and parses a JSON file.
 * @param host - Access to the file system.
 * @param path - Path of the file.
 * @returns The value, or a `file_unreadable` or `file_invalid` error.
 */
export function readJsonFile(
  host: CliHost,
  path: string,
): ResultAsync<unknown, CliError> {
  return host
    .readText(path)
    .mapErr((detail): CliError => ({kind: 'file_unreadable', path, detail}))
    .andThen(text => parseJson(path, text));
}

function parseJson(path: string, text: string): Result<unknown, CliError> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch (failure) {
    const detail = `the top level (${(failure as Error).message})`;
    return err({kind: 'file_invalid', path, detail});
  }
}

/**
 * Reads the whole published log.
 * @param host - Access to the file system and the network.
 * @param origin - Where to read it from.
 * @returns The log, or an error if it cannot be read or parsed.
 */
export function readPublishedLog(
  host: CliHost,
  origin: LogOrigin,
): ResultAsync<PublishedLog, CliError> {
  if (origin.kind === 'file') {
    return readJsonFile(host, origin.path).andThen(value =>
      parseLogFile(origin.path, value),
    );
  }
  return parseAddress(origin.address)
    .asyncAndThen(address => readRemainingSubmissions(host, address, []))
    .map(submissions => ({kind: 'submissions', submissions}));
}

/**
 * Parses a file that contains a saved state, a list of submissions or an answer
 * to a watch request.
 */
function parseLogFile(
  path: string,
  value: unknown,
): Result<PublishedLog, CliError> {
  if (Array.isArray(value)) {
    return parseWithSchema(SubmissionListSchema, path, value).map(
      submissions => ({
        kind: 'submissions',
        submissions,
      }),
    );
  }
  if (typeof value === 'object' && value !== null && 'submissions' in value) {
    return parseWithSchema(WatchAnswerSchema, path, value).map(
      ({submissions}) => ({
        kind: 'submissions',
        submissions,
      }),
    );
  }
  return parseWithSchema(FoldStateSchema, path, value).map(state => ({
    kind: 'state',
    state,
  }));
}

function parseWithSchema<T>(
  schema: z.ZodType<T>,
  path: string,
  value: unknown,
): Result<T, CliError> {
  const parsed = schema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err({
        kind: 'file_invalid',
        path,
        detail: describeSchemaError(parsed.error),
      });
}

/**
 * Reads the submissions after the given ones, up to the head. The platform
 * limits the size of an answer, so this may take several requests.
 */
function readRemainingSubmissions(
  host: CliHost,
  address: string,
  previous: readonly Submission[],
): ResultAsync<readonly Submission[], CliError> {
  const after = previous.at(-1)?.sequence ?? 0;
  return host
    .getJson(address, `/v1/watch?after=${after}&vms=0&waitMs=0`)
    .mapErr((detail): CliError => ({kind: 'unreachable', address, detail}))
    .andThen(value => parseWatchAnswer(address, value))
    .andThen(({head, submissions}) => {
      const all = [...previous, ...submissions];
      const last = all.at(-1)?.sequence ?? 0;
      if (last >= head) {
        return okAsync<readonly Submission[], CliError>(all);
      }
      if (last <= after) {
        const detail = `submissions (none after ${after}, although the head is ${head})`;
        return errAsync<readonly Submission[], CliError>({
          kind: 'answer_invalid',
          address,
          detail,
        });
      }
      return readRemainingSubmissions(host, address, all);
    });
}

function parseWatchAnswer(
  address: string,
  value: unknown,
): Result<WatchAnswer, CliError> {
  const parsed = WatchAnswerSchema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err({
        kind: 'answer_invalid',
        address,
        detail: describeSchemaError(parsed.error),
      });
}
