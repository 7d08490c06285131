/** Defines the commands of `fireflysill` and their arguments. */
import {Command, InvalidArgumentError, Option} from 'commander';
import {err, ok, okAsync, Result, ResultAsync} from 'neverthrow';
import {checkPatch} from './check.js';
import {diffVersions} from './diff.js';
import {CliError, EXIT_CODES} from './errors.js';
import {explainRequest} from './explain.js';
import {createHistory, History} from './history.js';
import {CliHost} from './host.js';
import {listSubmissions, listVersions} from './outcomes.js';
import {LogOrigin, readJsonFile, readPublishedLog} from './published_log.js';
import {Report} from './report.js';
import {reportStatus} from './status.js';

/** Options of a command that can print JSON. */
export interface JsonOption {
  readonly json?: boolean;
}

/** Options of a command that reads the published log. */
interface LogOptions extends JsonOption {
  readonly source?: string;
  readonly file?: string;
}

/** Outcome of a command: the report to print, or an error. */
export type CommandResult = ResultAsync<Report, CliError>;

/** Prints the result of the command that was run and sets the exit code. */
export type FinishCommand = (
  result: CommandResult,
  opts: JsonOption,
) => Promise<void>;

/**
 * Creates the program with all its commands.
 * @param host - Access to files, network, clock and output.
 * @param finish - Called with the result of the command.
 * @returns The program. Its parser throws a `CommanderError` on bad usage.
 */
export function createProgram(host: CliHost, finish: FinishCommand): Command {
  const program = new Command('fireflysill')
    .description('Checks, reads and explains the configuration of a fleet.')
    .exitOverride()
    .configureOutput({
      writeOut: text => host.write(text),
      writeErr: text => host.writeError(text),
    })
    .addHelpText(
      'after',
      '\nExit codes: 0 ok, 1 negative verdict, 2 bad usage or input, 3 no answer.',
    );
  addCheckCommand(program, host, finish);
  addStatusCommand(program, host, finish);
  addListCommands(program, host, finish);
  addDiffCommand(program, host, finish);
  addExplainCommand(program, host, finish);
  addExportCommand(program, host, finish);
  return program;
}

/** Creates a command with the options for reading the published log. */
function createLogCommand(program: Command, usage: string): Command {
  return program
    .command(usage)
    .addOption(
      new Option('--source <address>', 'read from the platform').conflicts(
        'file',
      ),
    )
    .option('--file <path>', 'read an exported log or a saved state instead')
    .option('--json', 'print JSON');
}

/** Reads the published log that the options name and folds it. */
function readHistory(
  host: CliHost,
  opts: LogOptions,
): ResultAsync<History, CliError> {
  return getLogOrigin(opts)
    .asyncAndThen(origin => readPublishedLog(host, origin))
    .andThen(createHistory);
}

function getLogOrigin({source, file}: LogOptions): Result<LogOrigin, CliError> {
  if (source !== undefined) {
    return ok({kind: 'source', address: source});
  }
  if (file !== undefined) {
    return ok({kind: 'file', path: file});
  }
  return err({
    kind: 'bad_usage',
    detail: 'Neither --source nor --file is given',
  });
}

/**
 * Parses a version or sequence number. Commander adds the name of the option
 * or argument to the error.
 */
function parseNonNegativeInteger(text: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    throw new InvalidArgumentError('Use a non-negative integer.');
  }
  return Number(text);
}

function addCheckCommand(
  program: Command,
  host: CliHost,
  finish: FinishCommand,
): void {
  interface Options extends LogOptions {
    readonly base?: number;
  }
  createLogCommand(program, 'check <patch-file>')
    .description('Check whether a patch would be accepted.')
    .option(
      '--base <version>',
      'version that the patch is based on (default: the latest)',
      parseNonNegativeInteger,
    )
    .action((path: string, opts: Options) =>
      finish(
        readJsonFile(host, path).andThen(value =>
          readHistory(host, opts).andThen(history =>
            checkPatch(history, path, value, opts.base),
          ),
        ),
        opts,
      ),
    );
}

function addStatusCommand(
  program: Command,
  host: CliHost,
  finish: FinishCommand,
): void {
  interface Options extends LogOptions {
    readonly proxy: string[];
    readonly fleet?: boolean;
  }
  program
    .command('status')
    .description('Show which version proxies hold, since when, and their lag.')
    .requiredOption(
      '--proxy <address...>',
      "operators' address of a proxy; several may be given",
    )
    .option('--fleet', 'also show the other members that these proxies know')
    .option('--source <address>', 'compare with what the platform publishes')
    .option('--json', 'print JSON')
    .action((opts: Options) => {
      const {proxy: addresses, fleet = false} = opts;
      const published =
        opts.source === undefined
          ? okAsync<History | undefined, CliError>(undefined)
          : readHistory(host, opts);
      const result = published.andThen(history =>
        reportStatus(host, {addresses, fleet, published: history}),
      );
      return finish(result, opts);
    });
}

function addListCommands(
  program: Command,
  host: CliHost,
  finish: FinishCommand,
): void {
  interface Options extends LogOptions {
    readonly id?: string;
    readonly refused?: boolean;
  }
  createLogCommand(program, 'submissions')
    .description('List submissions: accepted or refused, and why.')
    .option('--id <id>', 'only this one; exit code 1 unless it was accepted')
    .option('--refused', 'only those that were refused')
    .action((opts: Options) => {
      const filter = {id: opts.id, refusedOnly: opts.refused};
      const published = readHistory(host, opts);
      return finish(
        published.map(history => listSubmissions(history, filter)),
        opts,
      );
    });
  createLogCommand(program, 'versions')
    .description('List accepted versions.')
    .action((opts: LogOptions) =>
      finish(readHistory(host, opts).map(listVersions), opts),
    );
}

function addDiffCommand(
  program: Command,
  host: CliHost,
  finish: FinishCommand,
): void {
  createLogCommand(program, 'diff')
    .description('Show what changed between two versions.')
    .argument('<from>', 'earlier version', parseNonNegativeInteger)
    .argument('<to>', 'later version', parseNonNegativeInteger)
    .action((from: number, to: number, opts: LogOptions) =>
      finish(
        readHistory(host, opts).andThen(history =>
          diffVersions(history, from, to),
        ),
        opts,
      ),
    );
}

function addExplainCommand(
  program: Command,
  host: CliHost,
  finish: FinishCommand,
): void {
  interface Options extends LogOptions {
    readonly host: string;
    readonly at?: number;
  }
  createLogCommand(program, 'explain <method> <path>')
    .description('Show the route, service, upstreams and limits of a request.')
    .option('--host <host>', "the request's host", 'localhost')
    .option(
      '--at <version>',
      'version to explain (default: the latest)',
      parseNonNegativeInteger,
    )
    .action((method: string, path: string, opts: Options) => {
      const req = {method: method.toUpperCase(), host: opts.host, path};
      return finish(
        readHistory(host, opts).andThen(history =>
          explainRequest(history, req, opts.at),
        ),
        opts,
      );
    });
}

function addExportCommand(
  program: Command,
  host: CliHost,
  finish: FinishCommand,
): void {
  program
    .command('export')
    .description('Print the published log as JSON, for later use with --file.')
    .requiredOption('--source <address>', 'read from the platform')
    .action(({source}: {source: string}) => {
      const log = readPublishedLog(host, {kind: 'source', address: source});
      return finish(
        log.map(data => ({
          exitCode: EXIT_CODES.ok,
          data: data.kind === 'submissions' ? data.submissions : data.state,
          text: '',
        })),
        {json: true},
      );
    });
}
