/** Reads a settings file, and notices when it changes unannounced. */
import {readFile} from 'node:fs/promises';
import {err, ok, Result} from 'neverthrow';

/** Interval at which the file is compared with what is in force. */
const CHECK_INTERVAL_MS = 2_000;

/**
 * Reads a settings file.
 * @param file - Its path.
 * @returns Its content, or why it cannot be read.
 */
export async function readSettingsText(
  file: string,
): Promise<Result<string, string>> {
  try {
    return ok(await readFile(file, 'utf8'));
  } catch (error) {
    return err(
      `The settings cannot be read (${String(error)}); check the path.`,
    );
  }
}

/** Watches a settings file, with signals and without. */
export class SettingsFileWatcher {
  /**
   * @param file - Its path.
   * @param currentText - The content in force.
   * @param onChange - Takes each changed content.
   */
  constructor(
    private readonly file: string,
    private currentText: string,
    private readonly onChange: (text: string) => void,
  ) {}

  /** Starts watching until the process ends. */
  watch(): void {
    process.on('SIGHUP', () => void this.check());
    setInterval(() => void this.check(), CHECK_INTERVAL_MS).unref();
  }

  /** Compares the file; one that cannot be read changes nothing. */
  async check(): Promise<void> {
    const text = await readSettingsText(this.file);
    if (text.isOk() && text.value !== this.currentText) {
      this.currentText = text.value;
      this.onChange(text.value);
    }
  }
}
