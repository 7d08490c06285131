/** Runs a proxy as a daemon: settings file, signals and unexpected errors. */
import {Result, err, ok} from 'neverthrow';
import {MeshSettingsFile} from '../model/mesh_settings.js';
import {BoundedLog} from './bounded_log.js';
import {MeshAdapter, MeshRuntime} from './mesh_runtime.js';
import {ProcessSignals, SignalHandlers} from './process_signals.js';
import {
  SettingsFileWatcher,
  readSettingsText,
} from './settings_file_watcher.js';
import {StartFailure, StartRetry} from './start_retry.js';

const EXIT_INVALID_CALL = 2;

/** Name in the log until the settings provide one. */
const NAME = 'fireflysill';

/** Longest wait for sockets that are slow to close at the end of a planned stop. */
const MAX_CLOSE_MS = 1_000;

type ParseSettings = (text: string) => Result<MeshSettingsFile, string>;

/**
 * Runs a proxy until a planned stop is complete, then ends the process with exit
 * code 0. Invalid settings and addresses that cannot be listened on are logged,
 * and the start is repeated until it succeeds; only a variable that is not set
 * ends the process, with exit code 2.
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
  parseSettings: ParseSettings,
  adapter: MeshAdapter,
): Promise<void> {
  if (file === undefined) {
    console.error(
      `fireflysill: ${fileVariable} is not set; set it to the path of the settings file.`,
    );
    process.exit(EXIT_INVALID_CALL);
  }
  const daemon = new Daemon(file, parseSettings, adapter);
  for (const origin of ['uncaughtException', 'unhandledRejection'] as const) {
    process.on(origin, (error: unknown) => daemon.reportError(origin, error));
  }
  process.on('exit', () => daemon.writePendingLog());
  signals.attach(daemon);
  await daemon.run();
  process.exit(0);
}

class Daemon implements SignalHandlers {
  private readonly log = new BoundedLog(NAME, 'info', () => undefined);
  private readonly starts = new StartRetry(() => this.tryStart(), this.log);
  private proxy?: MeshRuntime;
  private watcher?: SettingsFileWatcher;
  private stopRequested = false;

  constructor(
    private readonly file: string,
    private readonly parseSettings: ParseSettings,
    private readonly adapter: MeshAdapter,
  ) {}

  /** Resolves when a planned stop is complete. */
  async run(): Promise<void> {
    const proxy = await this.starts.run();
    if (proxy === undefined) {
      await this.log.drain();
      return;
    }
    this.starts.failures.forEach((attempts, cause) =>
      proxy.countStartRetries(cause, attempts),
    );
    if (this.stopRequested) {
      proxy.requestStop();
    }
    await proxy.stopped;
    const timeout = new Promise(resolve => setTimeout(resolve, MAX_CLOSE_MS));
    await Promise.race([proxy.close(), timeout]);
  }

  onStop(): void {
    this.stopRequested = true;
    this.starts.abandon();
    this.proxy?.requestStop();
  }

  onReload(): void {
    this.starts.retryNow();
    void this.watcher?.check();
  }

  reportError(origin: string, error: unknown): void {
    if (this.proxy !== undefined) {
      this.proxy.reportError(origin, error);
      return;
    }
    this.log.write('daemon', 'error', 'Unexpected error; report it.', {
      origin,
      detail: String(error).slice(0, 200),
    });
  }

  writePendingLog(): void {
    this.log.writePending();
    this.proxy?.writePendingLog();
  }

  private async tryStart(): Promise<Result<MeshRuntime, StartFailure>> {
    const text = await readSettingsText(this.file);
    try {
      const settings = text.andThen(this.parseSettings);
      if (text.isErr() || settings.isErr()) {
        const detail = text.isErr() ? text.error : settings._unsafeUnwrapErr();
        return err({cause: 'settings', detail});
      }
      const proxy = new MeshRuntime(settings.value, this.adapter);
      await proxy.start();
      this.proxy = proxy;
      this.watchSettings(proxy, text.value);
      return ok(proxy);
    } catch (error) {
      return err(describeFailure(error));
    }
  }

  private watchSettings(proxy: MeshRuntime, currentText: string): void {
    this.watcher = new SettingsFileWatcher(this.file, currentText, changed =>
      this.parseSettings(changed).match(
        next => proxy.reload(next),
        detail => proxy.rejectReload(detail),
      ),
    );
    this.watcher.watch();
  }
}

function describeFailure(error: unknown): StartFailure {
  const detail = String(error);
  return (error as NodeJS.ErrnoException).syscall === 'listen'
    ? {
        cause: 'address',
        detail: `${detail}; free the address, or correct the settings file.`,
      }
    : {cause: 'unexpected', detail: `${detail}; report it.`};
}
