/** Runs one command of `fireflysill` and prints what it answers. */
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
 * Runs one command.
 * @param args - Arguments without the program's own name.
 * @param host - The machine.
 * @returns The exit code: 0 ok, 1 negative verdict, 2 bad usage or input,
 * 3 a process did not answer. It never rejects for bad input.
 */
export async function runCli(
  args: readonly string[],
  host: CliHost,
): Promise<ExitCode> {
  let exitCode: ExitCode = EXIT_CODES.ok;
  const finish = async (answer: CommandResult, opts: JsonOption) => {
    exitCode = (await answer).match(
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
