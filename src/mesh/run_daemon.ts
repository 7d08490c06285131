/** Runs a proxy as a daemon: settings file, signals and unexpected errors. */
import {Result} from 'neverthrow';
import {MeshSettingsFile} from '../model/mesh_settings.js';
import {MeshAdapter, MeshRuntime} from './mesh_runtime.js';
import {ProcessSignals} from './process_signals.js';
import {
  SettingsFileWatcher,
  readSettingsText,
} from './settings_file_watcher.js';

const EXIT_FAILED = 2;

/**
 * Runs a proxy until a planned stop is complete, then ends the process. Invalid
 * settings and addresses that cannot be listened on end it with exit code 2.
 * @param signals - The signals of the process.
 * @param file - The path of the settings file; undefined if it was not given.
 * @param fileVariable - The environment variable that holds the path.
 * @param parseSettings - Parses the content of the file.
 * @param adapter - The platform-specific parts of the proxy.
 */
export async function runDaemon(
  signals: ProcessSignals,
  file: string | undefined,
  fileVariable: string,
  parseSettings: (text: string) => Result<MeshSettingsFile, string>,
  adapter: MeshAdapter,
): Promise<void> {
  if (file === undefined) {
    fail(
      `${fileVariable} is not set; set it to the path of the settings file.`,
    );
    return;
  }
  const text = await readSettingsText(file);
  const settings = text.andThen(parseSettings);
  if (text.isErr() || settings.isErr()) {
    fail(text.isErr() ? text.error : settings._unsafeUnwrapErr());
    return;
  }
  const proxy = new MeshRuntime(settings.value, adapter);
  const watcher = new SettingsFileWatcher(file, text.value, changed =>
    parseSettings(changed).match(
      next => proxy.reload(next),
      detail => proxy.rejectReload(detail),
    ),
  );
  watcher.watch();
  for (const origin of ['uncaughtException', 'unhandledRejection'] as const) {
    process.on(origin, (error: unknown) => proxy.reportError(origin, error));
  }
  process.on('exit', () => proxy.writePendingLog());
  signals.attach({
    onStop: () => proxy.requestStop(),
    onReload: () => void watcher.check(),
  });
  try {
    await proxy.start();
    await proxy.stopped;
    await proxy.close();
    process.exit(0);
  } catch (error) {
    fail(String(error));
    process.exit();
  }
}

function fail(message: string): void {
  console.error(`fireflysill: ${message}`);
  process.exitCode = EXIT_FAILED;
}
