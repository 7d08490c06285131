/** Reads a settings file and watches it for changes. */
import {readFile} from 'node:fs/promises';
import {err, ok, Result} from 'neverthrow';

/** Interval of checks for changes that no SIGHUP announced. */
const CHECK_INTERVAL_MS = 2_000;

/**
 * Reads a settings file.
 * @param file - Its path.
 * @returns The content, or a message for the operator.
 */
export async function readSettingsText(
  file: string,
): Promise<Result<string, string>> {
  try {
    return ok(await readFile(file, 'utf8'));
  } catch (error) {
    return err(
      `The settings file cannot be read (${String(error)}); check its path and permissions.`,
    );
  }
}

/** Checks a settings file at regular intervals, and when it is told to. */
export class SettingsFileWatcher {
  /**
   * @param file - The path of the file.
   * @param currentText - The content that was read last.
   * @param onChange - Called with the new content after each change.
   */
  constructor(
    private readonly file: string,
    private currentText: string,
    private readonly onChange: (text: string) => void,
  ) {}

  /**
   * Starts to watch the file; there is no way to stop it. The first check finds
   * a change that was announced since the content was read.
   */
  watch(): void {
    void this.check();
    setInterval(() => void this.check(), CHECK_INTERVAL_MS).unref();
  }

  /** Reads the file and reports a change; a failed read is ignored. */
  async check(): Promise<void> {
    const text = await readSettingsText(this.file);
    if (text.isOk() && text.value !== this.currentText) {
      this.currentText = text.value;
      this.onChange(text.value);
    }
  }
}
