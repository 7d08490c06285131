/** Starts, measures and stops the child processes of a bench run. */
import {ChildProcess, spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {AddressInfo, createServer} from 'node:net';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const STOP_TIMEOUT_MS = 3_000;
/**
 * Unit of the CPU times in `/proc/PID/stat`: USER_HZ, which is 100 on Linux.
 */
const CLOCK_TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
const KB_PER_MB = 1_024;

/** A child process that was started by {@link ChildProcesses}. */
export interface Child {
  readonly pid: number;
  /** First line of the standard output, or '' if it was not awaited. */
  readonly firstLine: string;
  readonly process: ChildProcess;
}

/** Starts child processes, and stops those that still run. */
export class ChildProcesses {
  private readonly running = new Set<ChildProcess>();

  /**
   * Starts a module of this package that prints a line when it is ready.
   * @param script - Path of the compiled module, relative to this one.
   * @param args - Its command-line arguments.
   * @returns The child, after it has printed its first line.
   */
  async startAndAwaitOutput(
    script: string,
    args: readonly string[],
  ): Promise<Child> {
    const child = this.spawnScript(script, args);
    return {...child, firstLine: await readFirstLine(child.process, script)};
  }

  /**
   * Starts a module of this package without waiting for output.
   * @param script - Path of the compiled module, relative to this one.
   * @param args - Its command-line arguments.
   * @returns The child, with an empty first line.
   */
  spawnScript(script: string, args: readonly string[]): Child {
    const path = fileURLToPath(new URL(script, import.meta.url));
    const child = spawn(process.execPath, [path, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.running.add(child);
    child.once('exit', () => this.running.delete(child));
    // A full pipe would block the child.
    child.stdout?.resume();
    return {pid: child.pid ?? 0, firstLine: '', process: child};
  }

  /**
   * Stops a child and waits until it has exited.
   * @param child - The child.
   * @param signal - Signal to send; SIGTERM lets a proxy drain. A child that is
   *   still running after the timeout gets SIGKILL.
   */
  async stop(child: Child, signal: NodeJS.Signals = 'SIGTERM'): Promise<void> {
    await stopProcess(child.process, signal);
  }

  /** Kills all children that still run. */
  async stopAll(): Promise<void> {
    await Promise.all(
      [...this.running].map(child => stopProcess(child, 'SIGKILL')),
    );
  }
}

/** Resolves to the first line of output; rejects if the child exits before. */
function readFirstLine(child: ChildProcess, script: string): Promise<string> {
  return new Promise((resolve, reject) => {
    child.once('error', reject);
    child.once('exit', code =>
      reject(
        new Error(
          `${script} exited with code ${code} before it printed a line; its standard error says why.`,
        ),
      ),
    );
    if (child.stdout !== null) {
      // Reading continues after the first line: a full pipe would block the
      // child.
      createInterface({input: child.stdout}).on('line', resolve);
    }
  });
}

async function stopProcess(
  child: ChildProcess,
  signal: NodeJS.Signals,
): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return;
  }
  const exited = new Promise(resolve => child.once('exit', resolve));
  child.kill(signal);
  const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
  await exited;
  clearTimeout(timer);
}

/**
 * Reads the CPU time that a process has used.
 * @param pid - The process.
 * @returns Milliseconds of user and system time, with a resolution of 10.
 */
export function readCpuTimeMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The process name in parentheses may contain spaces, so it is skipped first.
  // The fields that follow start at number 3; 14 is utime and 15 is stime.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * MS_PER_SECOND) / CLOCK_TICKS_PER_SECOND;
}

/**
 * Reads the resident set size of a process.
 * @param pid - The process.
 * @returns Mebibytes.
 */
export function readResidentMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kb = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
  return Number(kb) / KB_PER_MB;
}

let nextLoopbackOctet = 1;

/**
 * Finds free TCP addresses. Each call uses another loopback IP address, because
 * outgoing connections occupy ephemeral ports of 127.0.0.1 at any time.
 * @param count - Number of ports on that IP address.
 * @returns The addresses as `HOST:PORT`.
 */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const host = `127.0.1.${nextLoopbackOctet}`;
  nextLoopbackOctet += 1;
  const servers = Array.from({length: count}, () => createServer());
  const addresses: string[] = [];
  for (const server of servers) {
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    addresses.push(`${host}:${(server.address() as AddressInfo).port}`);
  }
  for (const server of servers) {
    await new Promise(resolve => server.close(resolve));
  }
  return addresses;
}
