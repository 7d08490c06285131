/** Runs a command of `fireflysill` and prints its result. */
import {CommanderError} from 'commander';
import {CommandResult, createProgram, JsonOption} from './commands.js';
import {
  CliError,
  describeCliError,
  EXIT_CODES,
  ExitCode,
  getExitCode,
} from './errors.js';
import {CliHost} from './host.js';
import {Report} from './report.js';

/**
 * Runs a command. Bad usage and bad input do not reject the promise.
 * @param args - Arguments without the name of the program.
 * @param host - Access to files, network, clock and output.
 * @returns The exit code: 0 ok, 1 negative verdict, 2 bad usage or input,
 * 3 no answer from a process.
 */
export async function runCli(
  args: readonly string[],
  host: CliHost,
): Promise<ExitCode> {
  let exitCode: ExitCode = EXIT_CODES.ok;
  const finish = async (result: CommandResult, opts: JsonOption) => {
    exitCode = (await result).match(
      report => printReport(host, report, opts),
      error => printError(host, error, opts),
    );
  };
  try {
    await createProgram(host, finish).parseAsync([...args], {from: 'user'});
    return exitCode;
  } catch (failure) {
    if (failure instanceof CommanderError) {
      return failure.exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.usage;
    }
    throw failure;
  }
}

function printReport(
  host: CliHost,
  report: Report,
  opts: JsonOption,
): ExitCode {
  const text = opts.json ? JSON.stringify(report.data, null, 2) : report.text;
  host.write(`${text}\n`);
  return report.exitCode;
}

function printError(
  host: CliHost,
  error: CliError,
  opts: JsonOption,
): ExitCode {
  const message = describeCliError(error);
  host.writeError(
    opts.json
      ? `${JSON.stringify({error: error.kind, message})}\n`
      : `fireflysill: ${message}\n`,
  );
  return getExitCode(error);
}
