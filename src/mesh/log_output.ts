/** Destinations for the text of a log. */
import {fstatSync, write, writeSync} from 'node:fs';

const STDOUT_FD = 1;

/** Takes text, one piece at a time, and delays neither requests nor the exit. */
export interface LogOutput {
  /**
   * Writes text without waiting for it.
   * @param text - Whole lines.
   * @param onWritten - Called once; with an error if not all was written.
   */
  write(text: string, onWritten: (error?: Error | null) => void): void;

  /**
   * Writes text before it returns, for the end of the process. Throws if not
   * all was written.
   */
  writeSync(text: string): void;
}

/** Writes to a file or terminal, which accept text in any case. */
class FileOutput implements LogOutput {
  write(text: string, onWritten: (error: Error | null) => void): void {
    write(STDOUT_FD, text, onWritten);
  }

  writeSync(text: string): void {
    writeSync(STDOUT_FD, text);
  }
}

/**
 * Writes to a pipe or socket in non-blocking mode. A thread that is blocked in a
 * write would keep the process from exiting.
 */
class PipeOutput implements LogOutput {
  constructor() {
    // Each failed write reports its error to its callback as well.
    process.stdout.on('error', () => undefined);
  }

  write(text: string, onWritten: (error?: Error | null) => void): void {
    process.stdout.write(text, onWritten);
  }

  writeSync(text: string): void {
    if (process.stdout.writableLength > 0) {
      throw new Error('An earlier write is not complete.');
    }
    let rest: Uint8Array = Buffer.from(text);
    while (rest.length > 0) {
      rest = rest.subarray(writeSync(STDOUT_FD, rest));
    }
  }
}

/** Creates the output that suits the standard output of this process. */
export function createLogOutput(): LogOutput {
  try {
    const stats = fstatSync(STDOUT_FD);
    return stats.isFIFO() || stats.isSocket()
      ? new PipeOutput()
      : new FileOutput();
  } catch {
    return new FileOutput();
  }
}
