/** Errors of the command line; each message includes a remedy. */

/** Exit codes, which scripts may rely on. */
export const EXIT_CODES = {
  ok: 0,
  /** The command succeeded, and its verdict is negative. */
  negative: 1,
  /** Bad usage or unreadable input. */
  usage: 2,
  /** A process did not answer, or its response is invalid. */
  unreachable: 3,
} as const;

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** An error that the command line reports, by kind. */
export type CliError =
  | {readonly kind: 'bad_usage'; readonly detail: string}
  | {readonly kind: 'bad_address'; readonly address: string}
  | {
      readonly kind: 'file_unreadable';
      readonly path: string;
      readonly detail: string;
    }
  | {
      readonly kind: 'file_invalid';
      readonly path: string;
      readonly detail: string;
    }
  | {
      readonly kind: 'log_incomplete';
      readonly expected: number;
      readonly found: number;
    }
  | {
      readonly kind: 'version_unknown';
      readonly version: number;
      readonly first: number;
      readonly last: number;
    }
  | {
      readonly kind: 'unreachable';
      readonly address: string;
      readonly detail: string;
    }
  | {
      readonly kind: 'answer_invalid';
      readonly address: string;
      readonly detail: string;
    };

/**
 * Renders an error for operators.
 * @param error - The error.
 * @returns One sentence that states the problem and then the remedy.
 */
export function describeCliError(error: CliError): string {
  switch (error.kind) {
    case 'bad_usage':
      return `${error.detail}; see \`fireflysill --help\`.`;
    case 'bad_address':
      return `${error.address} is not an address; use an IP address and a port, such as 10.0.0.1:8080.`;
    case 'file_unreadable':
      return `${error.path} cannot be read (${error.detail}); check the path and its permissions.`;
    case 'file_invalid':
      return `${error.path} does not match its schema at ${error.detail}; correct that value.`;
    case 'log_incomplete':
      return `The log contains submission ${error.found} where ${error.expected} was expected; export it again from submission 1.`;
    case 'version_unknown':
      return `Version ${error.version} is not in the log, which holds versions ${error.first} to ${error.last}; choose one of these, or read the log from the platform with --source.`;
    case 'unreachable':
      return `${error.address} did not answer (${error.detail}); check the address and that the process runs.`;
    case 'answer_invalid':
      return `${error.address} sent a response that does not match its schema at ${error.detail}; check the address, and that both sides run compatible releases.`;
  }
}

/**
 * Returns the exit code for an error.
 * @param error - The error.
 * @returns 2 for bad usage or input, 3 if a process did not answer or sent an
 * invalid response.
 */
export function getExitCode(error: CliError): ExitCode {
  switch (error.kind) {
    case 'unreachable':
    case 'answer_invalid':
      return EXIT_CODES.unreachable;
    default:
      return EXIT_CODES.usage;
  }
}
