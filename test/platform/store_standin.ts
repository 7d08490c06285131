/** In-memory stand-in for the platform's store with the same HTTP API. */
import {once} from 'node:events';
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {AddressInfo} from 'node:net';

/** Fewer than in the real store, so that tests read several pages. */
const ITEMS_PER_PAGE = 3;

/** Interval at which a pending watch checks for events. */
const WATCH_POLL_MS = 5;

const EMPTY_LISTS = '[],'.repeat(20_000);

/** Empty lists in a large document, of three bytes each. */
const LARGE_LISTS = 5_000_000;

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly 'created-rev': number;
}

type Change = Item | {key: string; revision: number; removed: true};

/**
 * How the store responds: as usual (`answers`), with 503 (`busy`), with 429
 * (`rate-limited`), never (`silent`), with an invalid document (`invalid`), with one that
 * does not end (`endless`), or with one that has only empty lists (`large`).
 */
export type StoreMode =
  | 'answers'
  | 'busy'
  | 'rate-limited'
  | 'silent'
  | 'invalid'
  | 'endless'
  | 'large';

/** What a copy of the store holds. */
interface StoreCopy {
  readonly revision: number;
  readonly items: ReadonlyMap<string, Item>;
}

/** Serves keys, ranges and watches from memory. */
export class StoreStandin {
  mode: StoreMode = 'answers';
  /** Whether each page that was read may have been stale. */
  readonly listings: Array<'fresh' | 'may be stale'> = [];
  calls: string[] = [];
  /** Is called after each page has been read. */
  onPage: () => void = () => undefined;
  /** By how much the next page that may be stale lies behind; tests set it. */
  pageLag = 0;
  /** Number of restores, which all answers state. */
  private era = 1;
  private revision = 100;
  private compactedRevision = 100;
  private items = new Map<string, Item>();
  private changes: Change[] = [];
  private readonly server: Server;

  constructor() {
    this.server = createServer((req, res) => this.handle(req, res));
  }

  async start(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    this.server.close();
    await once(this.server, 'close');
  }

  /**
   * Stores a value.
   * @param key - The key.
   * @param value - Text, or a value to serialize as JSON.
   * @returns The revision of the change.
   */
  put(key: string, value: unknown): number {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.revision += 1;
    const encoded = Buffer.from(text).toString('base64');
    const created = this.items.get(key)?.['created-rev'] ?? this.revision;
    const item = {
      key,
      value: encoded,
      revision: this.revision,
      'created-rev': created,
    };
    this.items.set(key, item);
    this.changes.push(item);
    return this.revision;
  }

  remove(key: string): void {
    this.revision += 1;
    this.items.delete(key);
    this.changes.push({key, revision: this.revision, removed: true});
  }

  /** Deletes the history, so that watches from earlier revisions fail. */
  compact(): void {
    this.changes = [];
    this.compactedRevision = this.revision;
  }

  /** Creates a copy, from which the store can be restored later. */
  createCopy(): StoreCopy {
    return {revision: this.revision, items: new Map(this.items)};
  }

  /**
   * Replaces the content by that of a copy. Later changes are lost, their
   * revisions are given out again, and watches from them fail.
   */
  restore(copy: StoreCopy): void {
    this.era += 1;
    this.revision = copy.revision;
    this.items = new Map(copy.items);
    this.compact();
    this.server.closeAllConnections();
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const url = new URL(req.url ?? '/', 'http://store');
    this.calls.push(url.pathname);
    res.setHeader('store-era', this.era);
    switch (this.mode) {
      case 'silent':
        return;
      case 'busy':
        return reply(res, 503, {error: 'busy'});
      case 'rate-limited':
        return reply(res, 429, {error: 'too many'});
      case 'invalid':
        return reply(res, 200, {items: 'none'});
      case 'endless':
        return writeEndless(res);
      case 'large':
        res.end(`[${'[],'.repeat(LARGE_LISTS)}[]]`);
        return;
      case 'answers':
        return this.answer(url, res);
    }
  }

  private answer(url: URL, res: ServerResponse): void {
    const get = (name: string) => url.searchParams.get(name) ?? '';
    const at = {'store-revision': this.revision};
    switch (url.pathname) {
      case '/kv-key': {
        const item = this.items.get(get('key'));
        return item === undefined
          ? reply(res, 404, {error: 'no such key'})
          : reply(res, 200, {...item, ...at});
      }
      case '/kv-range': {
        this.listings.push(
          get('allow-stale') === '1' ? 'may be stale' : 'fresh',
        );
        const all = [...this.items.values()]
          .filter(
            ({key}) => key.startsWith(get('prefix')) && key > get('after'),
          )
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        const items = all.slice(0, ITEMS_PER_PAGE);
        const page = {items, 'has-more': all.length > items.length, ...at};
        if (get('allow-stale') === '1') {
          page['store-revision'] -= this.pageLag;
        }
        this.onPage();
        return reply(res, 200, page);
      }
      case '/kv-watch':
        return this.watch(
          Number(get('after')),
          get('prefix'),
          Number(get('wait-ms')),
          res,
        );
      default:
        return reply(res, 404, {error: 'no such path'});
    }
  }

  private watch(
    after: number,
    prefix: string,
    waitMs: number,
    res: ServerResponse,
  ): void {
    if (after < this.compactedRevision || after > this.revision) {
      return reply(res, 410, {error: 'history is compacted'});
    }
    const answer = (): boolean => {
      const events = this.changes.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      const isDue = events.length > 0 || performance.now() >= endsAt;
      if (isDue) {
        reply(res, 200, {events, 'store-revision': this.revision});
      }
      return isDue;
    };
    const endsAt = performance.now() + waitMs;
    const timer = setInterval(() => {
      if (answer() || res.destroyed) {
        clearInterval(timer);
      }
    }, WATCH_POLL_MS);
  }
}

/** Writes empty lists until the client closes the connection. */
function writeEndless(res: ServerResponse): void {
  const write = () => {
    while (!res.destroyed && res.write(EMPTY_LISTS));
  };
  res.on('drain', write);
  res.write('[');
  write();
}

function reply(res: ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(value));
}

/** Creates an entry as an upstream registers it. */
export function createInstanceEntry(
  address: string,
  overrides: object = {},
): object {
  return {
    service: 'desk',
    address,
    zone: 'north',
    version: 'v1',
    slots: 4,
    state: 'ready',
    'cold-left': '0ms',
    seq: 1,
    born: 1_700_000_000_000,
    ...overrides,
  };
}

/** Creates a configuration document as operators store it. */
export function createConfigDocument(
  version: number,
  overrides: object = {},
): object {
  const common = {
    host: 'shop.example',
    timeout: '1200ms',
    aim: '400ms',
    attempts: 2,
    service: 'desk',
  };
  return {
    version,
    routes: {
      'r-read': {...common, prefix: '/read/', kind: 'safe', priority: 2},
      'r-charge': {...common, prefix: '/charge/', kind: 'unsafe', priority: 0},
    },
    services: {
      desk: {
        'health-path': '/healthz',
        'max-conns': 120,
        protocol: 'h1',
        tls: false,
        'cold-start': '3s',
        'cold-per-s': 4.41,
      },
    },
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 1048576,
      'header-timeout': '3000ms',
      'idle-timeout': '15s',
    },
    'base-version': version - 1,
    ...overrides,
  };
}
