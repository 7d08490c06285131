/** Parses JSON text and names the remedy where it is none. */
import {err, ok, Result} from 'neverthrow';

/**
 * Parses JSON text.
 * @param text - The text.
 * @param remedy - What the author of the text should do if it is not JSON.
 * @returns The value, or an error message that ends with the remedy.
 */
export function parseJson(
  text: string,
  remedy: string,
): Result<unknown, string> {
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return err(`not JSON (${String(error)}); ${remedy}`);
  }
}
