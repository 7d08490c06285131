/** Child processes of demo, tests and bench, each ended by its own id. */
import {ChildProcess, spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {waitFor} from './wait_for.js';

const STOP_TIMEOUT_MS = 10_000;
const MAX_ERROR_LINES = 200;

/** How a process ended. */
export interface ExitStatus {
  readonly code: number | undefined;
  readonly signal: NodeJS.Signals | undefined;
}

const runningChildren = new Set<Child>();
let isExitHandlerInstalled = false;

/** Leaves no process behind, also when this process fails or is interrupted. */
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

/** One Node process that runs a script. */
export class Child {
  private readonly process: ChildProcess;
  private readonly errorLines: string[] = [];
  private exitStatus: ExitStatus | undefined;

  /**
   * Starts the process.
   * @param name - Name for messages.
   * @param script - Path of the script.
   * @param args - Its arguments.
   * @param onLine - Receives each line of its standard output.
   * @param extraEnv - Environment variables beside this process's own.
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

  /** @returns Process id; undefined where the start failed. */
  get pid(): number | undefined {
    return this.process.pid;
  }

  /** @returns How it ended, once all its output has been read. */
  get exit(): ExitStatus | undefined {
    return this.exitStatus;
  }

  /** @returns The last lines of its standard error. */
  get errorOutput(): string {
    return this.errorLines.join('\n');
  }

  /** @param signal - Signal to send; none is sent to an ended process. */
  signal(signal: NodeJS.Signals): void {
    if (this.exitStatus === undefined) {
      this.process.kill(signal);
    }
  }

  /**
   * Waits for the end.
   * @param timeoutMs - Longest wait.
   * @returns How it ended. Rejects after the longest wait.
   */
  waitForExit(timeoutMs?: number): Promise<ExitStatus> {
    return waitFor(`the end of ${this.name}`, () => this.exitStatus, timeoutMs);
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<ExitStatus> {
    this.signal('SIGKILL');
    return this.waitForExit();
  }

  /** Asks the process to end; kills it where it doesn't. */
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
