/** Child processes of a bench run, each ended by its own handle. */
import {ChildProcess, spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {AddressInfo, createServer} from 'node:net';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const STOP_TIMEOUT_MS = 3_000;
/** Kernel ticks a second in the accounting of processor time on Linux. */
const CLOCK_TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
const KB_PER_MB = 1_024;

/** One child process. */
export interface Child {
  readonly pid: number;
  /** First line of its standard output, where that was awaited. */
  readonly firstLine: string;
  readonly process: ChildProcess;
}

/** Starts children and ends those that are left. */
export class ChildProcesses {
  private readonly running = new Set<ChildProcess>();

  /**
   * Starts a program of this repository that prints a line when it is ready.
   * @param script - Path of the built module, relative to this one.
   * @param args - Its arguments.
   * @returns The child, once it has printed a line.
   */
  async startAndAwaitOutput(
    script: string,
    args: readonly string[],
  ): Promise<Child> {
    const child = this.spawnScript(script, args);
    return {...child, firstLine: await readFirstLine(child.process, script)};
  }

  /**
   * Starts a program of this repository that need not print anything.
   * @param script - Path of the built module, relative to this one.
   * @param args - Its arguments.
   * @returns The child, without a first line.
   */
  spawnScript(script: string, args: readonly string[]): Child {
    const path = fileURLToPath(new URL(script, import.meta.url));
    const child = spawn(process.execPath, [path, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.running.add(child);
    child.once('exit', () => this.running.delete(child));
    // Read, so that the pipe never fills.
    child.stdout?.resume();
    return {pid: child.pid ?? 0, firstLine: '', process: child};
  }

  /**
   * Ends one child and waits until it is gone.
   * @param child - The child.
   * @param signal - SIGKILL ends it without a drain.
   */
  async stop(child: Child, signal: NodeJS.Signals = 'SIGTERM'): Promise<void> {
    await stopProcess(child.process, signal);
  }

  /** Ends all children that are left. */
  async stopAll(): Promise<void> {
    await Promise.all(
      [...this.running].map(child => stopProcess(child, 'SIGKILL')),
    );
  }
}

function readFirstLine(child: ChildProcess, script: string): Promise<string> {
  return new Promise((resolve, reject) => {
    child.once('error', reject);
    child.once('exit', code =>
      reject(new Error(`${script} ended with ${code} before it was ready.`)),
    );
    if (child.stdout !== null) {
      // The reader goes on after the first line, so that the pipe never fills.
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
 * Reads the processor time that a process has used.
 * @param pid - The process.
 * @returns Milliseconds of user and system time, in steps of 10.
 */
export function readCpuTimeMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The name in parentheses may hold spaces, so fields count from behind it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * MS_PER_SECOND) / CLOCK_TICKS_PER_SECOND;
}

/**
 * Reads the resident memory of a process.
 * @param pid - The process.
 * @returns Megabytes.
 */
export function readResidentMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kb = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
  return Number(kb) / KB_PER_MB;
}

let nextLoopbackOctet = 1;

/**
 * Finds addresses that are free. Each call takes a loopback address of its
 * own, because outgoing connections take ports of 127.0.0.1 at any time.
 * @param count - How many, of one loopback address.
 * @returns The addresses.
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
