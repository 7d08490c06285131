/** What the command line needs from the machine; tests pass their own. */
import {readFile} from 'node:fs/promises';
import {ResultAsync} from 'neverthrow';
import {Client} from 'undici';

/** Longest wait for one answer, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 5_000;
const CONNECT_TIMEOUT_MS = 2_000;

export interface CliHost {
  /** Writes to standard output. */
  write(text: string): void;
  /** Writes to standard error. */
  writeError(text: string): void;
  /** Unix milliseconds. */
  now(): number;
  /** Resolves to the text of a file, or to what went wrong. */
  readText(path: string): ResultAsync<string, string>;
  /** Resolves to the JSON answer of a GET request, or to what went wrong. */
  getJson(address: string, path: string): ResultAsync<unknown, string>;
}

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

/** The machine that the process runs on. */
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
