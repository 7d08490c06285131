/** Access of the command line to files, network, clock and output. */
import {readFile} from 'node:fs/promises';
import {ResultAsync} from 'neverthrow';
import {Client} from 'undici';

const RESPONSE_TIMEOUT_MS = 5_000;
const CONNECT_TIMEOUT_MS = 2_000;

/** Environment of the command line; tests substitute their own. */
export interface CliHost {
  /** Writes to standard output. */
  write(text: string): void;
  /** Writes to standard error. */
  writeError(text: string): void;
  /** Returns the current time in Unix milliseconds. */
  now(): number;
  /** Reads a UTF-8 file; the error is a short reason such as `ENOENT`. */
  readText(path: string): ResultAsync<string, string>;
  /**
   * Sends a GET request and parses its JSON response; the error is a short
   * reason such as `ECONNREFUSED`.
   */
  getJson(address: string, path: string): ResultAsync<unknown, string>;
}

/** Returns the error code if there is one, otherwise the message. */
function describeFailure(failure: unknown): string {
  if (failure instanceof Error) {
    const code = (failure as NodeJS.ErrnoException).code;
    return code ?? failure.message;
  }
  return String(failure);
}

async function fetchJson(address: string, path: string): Promise<unknown> {
  const client = new Client(`http://${address}`, {
    connectTimeout: CONNECT_TIMEOUT_MS,
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
  });
  try {
    const {statusCode, body} = await client.request({method: 'GET', path});
    const text = await body.text();
    if (statusCode !== 200) {
      throw new Error(`status ${statusCode}`);
    }
    return JSON.parse(text) as unknown;
  } finally {
    await client.destroy();
  }
}

/** Environment of the Node.js process. */
export class NodeHost implements CliHost {
  write(text: string): void {
    process.stdout.write(text);
  }

  writeError(text: string): void {
    process.stderr.write(text);
  }

  now(): number {
    return Date.now();
  }

  readText(path: string): ResultAsync<string, string> {
    return ResultAsync.fromPromise(readFile(path, 'utf8'), describeFailure);
  }

  getJson(address: string, path: string): ResultAsync<unknown, string> {
    return ResultAsync.fromPromise(fetchJson(address, path), describeFailure);
  }
}
