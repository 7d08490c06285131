/** Child processes of the demo, the tests and the benchmark. */
import {ChildProcess, spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {waitFor} from './wait_for.js';

const STOP_TIMEOUT_MS = 10_000;
const MAX_ERROR_LINES = 200;

/** Exit code of a process, or the signal that ended it. */
export interface ExitStatus {
  readonly code: number | undefined;
  readonly signal: NodeJS.Signals | undefined;
}

const runningChildren = new Set<Child>();
let isExitHandlerInstalled = false;

/** Kills all children when this process exits, fails or is interrupted. */
function installExitHandler(): void {
  if (isExitHandlerInstalled) {
    return;
  }
  isExitHandlerInstalled = true;
  process.on('exit', () =>
    runningChildren.forEach(child => child.signal('SIGKILL')),
  );
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    process.once(signal, () => process.exit(1));
  }
}

/** A Node process that runs a script. */
export class Child {
  private readonly process: ChildProcess;
  private readonly errorLines: string[] = [];
  private exitStatus: ExitStatus | undefined;

  /**
   * Starts the process.
   * @param name - Name of the process in messages.
   * @param script - Path of the script.
   * @param args - Arguments of the script.
   * @param onLine - Called with each line of standard output.
   * @param extraEnv - Environment variables in addition to those of this process.
   */
  constructor(
    readonly name: string,
    script: string,
    args: readonly string[],
    onLine: (line: string) => void = () => {},
    extraEnv: Readonly<Record<string, string>> = {},
  ) {
    installExitHandler();
    this.process = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, ...extraEnv},
    });
    runningChildren.add(this);
    this.process.once('close', (code, signal) => {
      runningChildren.delete(this);
      this.exitStatus = {code: code ?? undefined, signal: signal ?? undefined};
    });
    this.process.once('error', error => {
      this.appendErrorLine(error.message);
    });
    this.forEachLine('stdout', onLine);
    this.forEachLine('stderr', line => this.appendErrorLine(line));
  }

  /** @returns Process id, or undefined if the process could not be started. */
  get pid(): number | undefined {
    return this.process.pid;
  }

  /** @returns The exit status, once the process and its output have ended. */
  get exit(): ExitStatus | undefined {
    return this.exitStatus;
  }

  /** @returns The last lines of standard error. */
  get errorOutput(): string {
    return this.errorLines.join('\n');
  }

  /**
   * Sends a signal, unless the process has ended.
   * @param signal - The signal.
   */
  signal(signal: NodeJS.Signals): void {
    if (this.exitStatus === undefined) {
      this.process.kill(signal);
    }
  }

  /**
   * Waits until the process has ended.
   * @param timeoutMs - Longest wait.
   * @returns The exit status. Rejects on timeout.
   */
  waitForExit(timeoutMs?: number): Promise<ExitStatus> {
    return waitFor(`${this.name} to exit`, () => this.exitStatus, timeoutMs);
  }

  /** Sends SIGKILL and waits until the process has ended. */
  async kill(): Promise<ExitStatus> {
    this.signal('SIGKILL');
    return this.waitForExit();
  }

  /**
   * Sends SIGTERM, also to a process that is paused by SIGSTOP. Sends SIGKILL
   * if the process has not ended within {@link STOP_TIMEOUT_MS}.
   */
  async stop(): Promise<ExitStatus> {
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    return this.waitForExit(STOP_TIMEOUT_MS).catch(() => this.kill());
  }

  private forEachLine(
    stream: 'stdout' | 'stderr',
    onLine: (line: string) => void,
  ): void {
    const input = this.process[stream];
    if (input !== null) {
      createInterface({input}).on('line', onLine);
    }
  }

  private appendErrorLine(line: string): void {
    this.errorLines.push(line);
    if (this.errorLines.length > MAX_ERROR_LINES) {
      this.errorLines.shift();
    }
  }
}
