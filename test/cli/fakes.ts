/** In-process fakes of servers and files for the tests of the command line. */
import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {CliHost, NodeHost} from '../../src/cli/host.js';
import {runCli} from '../../src/cli/program.js';
import {Submission} from '../../src/model/config.js';

/** Maximum number of submissions in an answer of the fake platform. */
const PAGE_SIZE = 2;

/** HTTP server that answers with JSON, or with 404 for an undefined answer. */
export class FakeServer {
  private readonly server: Server;

  constructor(answer: (url: URL) => unknown) {
    this.server = createServer((req, res) => {
      const value = answer(new URL(req.url ?? '/', 'http://fake'));
      res.writeHead(value === undefined ? 404 : 200);
      res.end(JSON.stringify(value));
    });
  }

  /** Starts listening and resolves to the address. */
  async start(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }
}

/** Creates a platform that returns the log in pages of `PAGE_SIZE`. */
export function createFakePlatform(
  submissions: readonly Submission[],
): FakeServer {
  return new FakeServer(url => {
    if (url.pathname !== '/v1/watch') {
      return undefined;
    }
    const after = Number(url.searchParams.get('after'));
    const head = submissions.at(-1)?.sequence ?? 0;
    const newer = submissions.filter(({sequence}) => sequence > after);
    return {head, submissions: newer.slice(0, PAGE_SIZE)};
  });
}

/** Creates a proxy with a fixed status. */
export function createFakeProxy(status: object): FakeServer {
  return new FakeServer(url =>
    url.pathname === '/v1/status' ? status : undefined,
  );
}

function readFakeFile(content: unknown): ResultAsync<string, string> {
  if (content === undefined) {
    return errAsync('ENOENT');
  }
  return okAsync(
    typeof content === 'string' ? content : JSON.stringify(content),
  );
}

/** Output of a command; addresses are masked because their ports vary. */
export interface CliRun {
  readonly exitCode: number;
  readonly out: string;
  readonly err: string;
}

/**
 * Runs a command with a fixed clock.
 * @param args - The arguments of the command.
 * @param files - Content of the files that it can read, by path.
 * @returns The exit code and the output.
 */
export async function run(
  args: readonly string[],
  files: Readonly<Record<string, unknown>> = {},
): Promise<CliRun> {
  const out: string[] = [];
  const err: string[] = [];
  const node = new NodeHost();
  const host: CliHost = {
    write: text => out.push(text),
    writeError: text => err.push(text),
    now: () => 1_700_000_100_000,
    readText: path => readFakeFile(files[path]),
    getJson: (address, path) => node.getJson(address, path),
  };
  const exitCode = await runCli(args, host);
  const mask = (parts: string[]) =>
    parts.join('').replace(/127\.0\.0\.1:\d+/g, 'ADDRESS');
  return {exitCode, out: mask(out), err: mask(err)};
}

const SERVICE = {
  slots: 10,
  connections: 120,
  queue: 32,
  keyLifetimeMs: 600_000,
  retryBudgetPercent: 10,
  slowStartMs: 0,
};

function upstream(zone: string, port: number) {
  return {
    service: 'billing-core',
    region: 'centre',
    zone,
    peerAddress: `10.0.0.1:${port}`,
  };
}

/** Two are accepted; one has a stale base and one an unknown service. */
export const SUBMISSIONS: readonly Submission[] = [
  {
    sequence: 1,
    id: 'add-billing',
    base: 0,
    publishedAt: 1_700_000_000_000,
    patch: {
      services: {'billing-core': SERVICE},
      upstreams: {
        'bill-1': upstream('zilina-a', 8_001),
        'bill-2': upstream('zilina-b', 8_002),
      },
      routes: {
        charges: {pathPrefix: '/charges', service: 'billing-core'},
      },
    },
  },
  {
    sequence: 2,
    id: 'raced',
    base: 0,
    publishedAt: 1_700_000_010_000,
    patch: {routes: {charges: null}},
  },
  {
    sequence: 3,
    id: 'stray-route',
    base: 1,
    publishedAt: 1_700_000_020_000,
    patch: {routes: {plans: {pathPrefix: '/plans', service: 'desk'}}},
  },
  {
    sequence: 4,
    id: 'slower-charges',
    base: 1,
    publishedAt: 1_700_000_030_000,
    patch: {
      upstreams: {'bill-2': null, 'bill-3': upstream('martin-c', 8_003)},
      routes: {
        charges: {
          pathPrefix: '/charges',
          service: 'billing-core',
          timeoutMs: 9_000,
          methods: ['GET', 'POST'],
        },
      },
    },
  },
];
