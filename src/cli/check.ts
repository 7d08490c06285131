/** The `check` command: checks whether a patch would be accepted. */
import {err, ok, Result} from 'neverthrow';
import * as z from 'zod';
import {tryPatch} from '../core/config/fold.js';
import {describeSubmissionError} from '../core/config/validate.js';
import {SequenceSchema} from '../model/primitives.js';
import {diffConfigs, renderChanges} from './diff.js';
import {CliError, EXIT_CODES} from './errors.js';
import {History} from './history.js';
import {describeSchemaError} from './published_log.js';
import {Report} from './report.js';

/** Content of a patch file that names the version the patch is based on. */
const PatchWithBaseSchema = z.strictObject({
  base: SequenceSchema,
  id: z.string().optional(),
  patch: z.unknown(),
});

interface PatchWithBase {
  /** Version that the patch is based on. */
  readonly base: number;
  readonly patch: unknown;
}

/**
 * Parses the content of a patch file, which is either `{base, patch}` or the
 * patch alone.
 * @param path - Path of the file, for error messages.
 * @param value - Parsed JSON content of the file.
 * @param base - Value of `--base`, if given.
 * @param latest - Latest version, the default for a patch without a base.
 * @returns The patch and its base, or a `file_invalid` or `bad_usage` error.
 */
function parsePatchFile(
  path: string,
  value: unknown,
  base: number | undefined,
  latest: number,
): Result<PatchWithBase, CliError> {
  if (typeof value !== 'object' || value === null || !('patch' in value)) {
    return ok({base: base ?? latest, patch: value});
  }
  const parsed = PatchWithBaseSchema.safeParse(value);
  if (!parsed.success) {
    const detail = describeSchemaError(parsed.error);
    return err({kind: 'file_invalid', path, detail});
  }
  if (base !== undefined && base !== parsed.data.base) {
    const detail = `--base is ${base}, but ${path} says ${parsed.data.base}`;
    return err({kind: 'bad_usage', detail});
  }
  return ok({base: parsed.data.base, patch: parsed.data.patch});
}

/**
 * Checks a patch with the same code by which a proxy accepts or refuses it.
 * @param history - History of the published log.
 * @param path - Path of the patch file, for error messages.
 * @param value - Parsed JSON content of the file.
 * @param requestedBase - Value of `--base`, if given.
 * @returns The verdict, or an error if the file or the usage is invalid.
 */
export function checkPatch(
  history: History,
  path: string,
  value: unknown,
  requestedBase: number | undefined,
): Result<Report, CliError> {
  const {latest} = history;
  return parsePatchFile(path, value, requestedBase, latest.version).map(
    ({base, patch}) =>
      tryPatch(latest, base, patch).match<Report>(
        config => {
          const version = latest.version + 1;
          const changes = diffConfigs(latest.config, config);
          return {
            exitCode: EXIT_CODES.ok,
            data: {verdict: 'accepted', base, version, changes},
            text: `Accepted: would become version ${version}.\n${renderChanges(changes)}`,
          };
        },
        error => {
          const detail = describeSubmissionError(error);
          return {
            exitCode: EXIT_CODES.negative,
            data: {verdict: 'refused', base, code: error.kind, detail},
            text: `Refused (${error.kind}): ${detail}`,
          };
        },
      ),
  );
}
