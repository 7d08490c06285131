/** Validates untrusted values with schemas and describes what is wrong. */
import {err, ok, Result} from 'neverthrow';
import * as z from 'zod';

/**
 * Validates a value.
 * @param schema - The schema.
 * @param value - The value.
 * @returns The parsed value, or a description of the first error.
 */
export function validate<T>(
  schema: z.ZodType<T>,
  value: unknown,
): Result<T, string> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const [issue] = parsed.error.issues;
  return err(`${issue.path.join('.') || 'the document'}: ${issue.message}`);
}

/** Describes all errors, each with the path of the value. */
export function describeIssues(error: z.ZodError): string {
  return error.issues
    .map(({path, message}) => `${path.join('.')}: ${message}`)
    .join('; ');
}
