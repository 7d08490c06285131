/** Reads and validates the settings file of a proxy. */
import {readFileSync} from 'node:fs';
import {err, ok, Result} from 'neverthrow';
import {Settings, SettingsSchema} from '../model/settings.js';

/** One error in a settings file. */
export type SettingsError =
  | {readonly kind: 'unreadable'; readonly file: string; readonly cause: string}
  | {readonly kind: 'not_json'; readonly file: string; readonly cause: string}
  | {
      readonly kind: 'bad_setting';
      readonly path: string;
      readonly found: string;
      readonly remedy: string;
    };

/**
 * Formats an error for operators.
 * @param error - The error.
 * @returns The place of the error, what was found there, and the remedy.
 */
export function describeSettingsError(error: SettingsError): string {
  switch (error.kind) {
    case 'unreadable':
      return `${error.file} cannot be read (${error.cause}); check the path and its permissions.`;
    case 'not_json':
      return `${error.file} is not JSON (${error.cause}); correct the syntax.`;
    case 'bad_setting':
      return `${error.path}: found ${error.found}; ${error.remedy}.`;
  }
}

/**
 * Loads a settings file.
 * @param file - Path of the file.
 * @returns The settings with defaults filled in, or all errors found.
 */
export function loadSettings(
  file: string,
): Result<Settings, readonly SettingsError[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return err([{kind: 'unreadable', file, cause: getErrorMessage(error)}]);
  }
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return err([{kind: 'not_json', file, cause: getErrorMessage(error)}]);
  }
  return checkSettings(value);
}

/**
 * Validates settings that are already parsed.
 * @param value - The parsed JSON.
 * @returns The settings with defaults filled in, or all errors found.
 */
export function checkSettings(
  value: unknown,
): Result<Settings, readonly SettingsError[]> {
  const parsed = SettingsSchema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  return err(
    parsed.error.issues.map((issue): SettingsError => ({
      kind: 'bad_setting',
      path: issue.path.join('.') || 'the top level',
      found: describeValue(getValueAtPath(value, issue.path)),
      remedy: issue.message,
    })),
  );
}

function getValueAtPath(value: unknown, path: readonly PropertyKey[]): unknown {
  let current = value;
  for (const name of path) {
    if (typeof current !== 'object' || current === null) {
      return undefined;
    }
    current = (current as Record<PropertyKey, unknown>)[name];
  }
  return current;
}

function describeValue(value: unknown): string {
  if (value === undefined) {
    return 'nothing';
  }
  return typeof value === 'object' && value !== null
    ? `an object with ${Object.keys(value).join(', ') || 'no members'}`
    : JSON.stringify(value);
}

function getErrorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
