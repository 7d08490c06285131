/** What the stand-ins' daemons have in common. */
import {Logger} from 'tslog';
import * as z from 'zod';

/** First line on standard output once a daemon listens. */
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
 * Makes a logger that writes to standard error, because standard output
 * carries lines for the parent process.
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
 * Runs a daemon's main function; a start that fails ends with exit code 2.
 * @param part - Prefix of each message.
 * @param main - The function.
 */
export function runDaemon(part: string, main: () => Promise<void>): void {
  main().catch((error: unknown) => {
    const message = describeError(error);
    createStderrLogger(part).error(
      `Start failed; correct the option and start again. ${message}`,
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
