/** Child processes of demo, tests and bench, each ended by its own id. */
import {ChildProcess, spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {until} from './until.js';

const STOP_TIMEOUT_MS = 10_000;
const KEPT_ERROR_LINES = 200;

/** How a process ended. */
export interface Exit {
  readonly code: number | undefined;
  readonly signal: NodeJS.Signals | undefined;
}

const running = new Set<Child>();
let isExitHooked = false;

/** Leaves no process behind, also when this process fails or is interrupted. */
function hookExit(): void {
  if (isExitHooked) {
    return;
  }
  isExitHooked = true;
  process.on('exit', () => running.forEach(child => child.signal('SIGKILL')));
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    process.once(signal, () => process.exit(1));
  }
}

/** One Node process that runs a script. */
export class Child {
  private readonly process: ChildProcess;
  private readonly errorLines: string[] = [];
  private ended: Exit | undefined;

  /**
   * Starts the process.
   * @param name - Name for messages.
   * @param script - Path of the script.
   * @param args - Its arguments.
   * @param onLine - Receives each line of its standard output.
   * @param variables - Environment variables beside this process's own.
   */
  constructor(
    readonly name: string,
    script: string,
    args: readonly string[],
    onLine: (line: string) => void = () => {},
    variables: Readonly<Record<string, string>> = {},
  ) {
    hookExit();
    this.process = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, ...variables},
    });
    running.add(this);
    this.process.once('close', (code, signal) => {
      running.delete(this);
      this.ended = {code: code ?? undefined, signal: signal ?? undefined};
    });
    this.process.once('error', error => {
      this.keepErrorLine(error.message);
    });
    this.forEachLine('stdout', onLine);
    this.forEachLine('stderr', line => this.keepErrorLine(line));
  }

  /** @returns Process id; undefined where the start failed. */
  get pid(): number | undefined {
    return this.process.pid;
  }

  /** @returns How it ended, once all its output has been read. */
  get exit(): Exit | undefined {
    return this.ended;
  }

  /** @returns The last lines of its standard error. */
  get errors(): string {
    return this.errorLines.join('\n');
  }

  /** @param signal - Signal to send; none is sent to an ended process. */
  signal(signal: NodeJS.Signals): void {
    if (this.ended === undefined) {
      this.process.kill(signal);
    }
  }

  /**
   * Waits for the end.
   * @param timeoutMs - Longest wait.
   * @returns How it ended. Rejects after the longest wait.
   */
  untilExit(timeoutMs?: number): Promise<Exit> {
    return until(`the end of ${this.name}`, () => this.ended, timeoutMs);
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<Exit> {
    this.signal('SIGKILL');
    return this.untilExit();
  }

  /** Asks the process to end; kills it where it doesn't. */
  async stop(): Promise<Exit> {
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    return this.untilExit(STOP_TIMEOUT_MS).catch(() => this.kill());
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

  private keepErrorLine(line: string): void {
    this.errorLines.push(line);
    if (this.errorLines.length > KEPT_ERROR_LINES) {
      this.errorLines.shift();
    }
  }
}
