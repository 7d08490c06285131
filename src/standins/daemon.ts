/** Output and start-up functions shared by the stand-in daemons. */
import {Logger} from 'tslog';
import * as z from 'zod';

/** First line that a daemon prints on standard output, once both ports listen. */
export interface ReadyLine {
  readonly ready: {readonly port: number; readonly sidePort: number};
}

/**
 * Prints one JSON value as a line on standard output.
 * @param value - The value.
 */
export function printLine(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

/**
 * Creates a logger that writes to standard error, because the parent process
 * parses standard output.
 * @param part - Prefix of each message.
 * @returns The logger.
 */
export function createStderrLogger(part: string): Logger<unknown> {
  return new Logger({
    type: 'hidden',
    name: part,
    attachedTransports: [
      record => {
        const {_meta, ...parts} = record as Record<string, unknown> & {
          _meta: {logLevelName: string};
        };
        const text = Object.values(parts).map(String).join(' ');
        process.stderr.write(`${_meta.logLevelName} ${part}: ${text}\n`);
      },
    ],
  });
}

/**
 * Runs the main function of a daemon. If it rejects, logs the reason and sets
 * exit code 2.
 * @param part - Prefix of the log message.
 * @param main - The main function.
 */
export function runDaemon(part: string, main: () => Promise<void>): void {
  main().catch((error: unknown) => {
    const message = describeError(error);
    createStderrLogger(part).error(
      `Failed to start; correct the options and start the daemon again. ${message}`,
    );
    process.exitCode = 2;
  });
}

function describeError(error: unknown): string {
  if (error instanceof z.ZodError) {
    return z.prettifyError(error);
  }
  return error instanceof Error ? error.message : String(error);
}
