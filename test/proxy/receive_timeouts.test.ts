/** Clients that take long to send a request, or are read late. */
import {once} from 'node:events';
import {AddressInfo, Socket, connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {isBehindEnd} from '../../src/proxy/closing_connections.js';
import {Listener, listen} from '../../src/proxy/listener.js';
import {MemoryBudget} from '../../src/proxy/memory_budget.js';
import {readBody} from '../../src/proxy/read_body.js';
import {expect} from '../support/chai_setup.js';

const LIMIT_MS = 300;

/** Longer than the limit and the interval of the checks together. */
const LATE_MS = 1_600;

const IDLE_MS = 1_000;
const HEAD = 'POST /charge HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n';

/** Lets this process stand still. */
function standStill(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

describe('a request that is sent slowly or read late', () => {
  let handled: string[];
  let malformed: string[];
  let listener: Listener;
  let client: Socket;
  let received: string;

  async function start(idleMs?: number, bodyMs?: number): Promise<void> {
    handled = [];
    malformed = [];
    received = '';
    const memory = new MemoryBudget(1_048_576, 0);
    listener = await listen(
      '127.0.0.1:0',
      {receiveTimeoutMs: LIMIT_MS},
      8,
      kind => malformed.push(kind),
      async (req, res) => {
        const body = await readBody(req, 100, memory);
        if (body.isOk() && !isBehindEnd(req)) {
          handled.push(req.url ?? '');
          res.end('done');
        }
      },
      {
        receiveLimits: {
          ...(idleMs === undefined ? {} : {idleMs}),
          ...(bodyMs === undefined ? {} : {bodyMs}),
        },
      },
    );
    const {port} = listener.server.address() as AddressInfo;
    client = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    client.on('error', () => undefined);
    client.on('data', chunk => (received += String(chunk)));
    await once(client, 'connect');
    await delay(100);
  }

  afterEach(() => {
    client.destroy();
    listener.server.closeAllConnections();
    listener.server.close();
  });

  async function readStatuses(): Promise<string[]> {
    await delay(LATE_MS);
    return received.match(/HTTP\/1\.1 \d+/g) ?? [];
  }

  // Guards against REFUSED: a 408 for a request that is read and run after it.
  it('is answered once if it arrived while the process stood still', async () => {
    await start();
    client.write(`${HEAD}body`);
    standStill(LATE_MS);
    expect(await readStatuses()).to.deep.equal(['HTTP/1.1 200']);
    expect(handled).to.deep.equal(['/charge']);
  });

  // Guards against REFUSED: the 408 of an idle connection and its first request cross.
  it('is answered on a connection that was idle for long', async () => {
    await start();
    await delay(LATE_MS);
    client.write(`${HEAD}body`);
    expect(await readStatuses()).to.deep.equal(['HTTP/1.1 200']);
    expect(handled).to.deep.equal(['/charge']);
  });

  // The rest of a body that arrives between two checks is no head of a next request.
  it('is answered on a connection that was idle after a slow body', async () => {
    await start(undefined, 10_000);
    client.write(`${HEAD}bo`);
    await delay(1_200);
    client.write('dy');
    await delay(2 * LATE_MS);
    client.write(`${HEAD}body`);
    const statuses = await readStatuses();
    expect(statuses).to.deep.equal(['HTTP/1.1 200', 'HTTP/1.1 200']);
  });

  it('is not run after a 408 for its head', async () => {
    await start();
    client.write(HEAD.slice(0, 30));
    await delay(LATE_MS);
    const statuses = await readStatuses();
    client.write(`${HEAD.slice(30)}body${HEAD}body`);
    await delay(LIMIT_MS);
    expect([statuses, handled]).to.deep.equal([['HTTP/1.1 408'], []]);
  });

  // Guards against REFUSED: an upload whose caller goes on sending after the 408.
  it('is not run after a 408 for its body', async () => {
    await start();
    client.write(`${HEAD}bo`);
    await delay(LATE_MS);
    const statuses = await readStatuses();
    client.write(`dy${HEAD}body`);
    await delay(LIMIT_MS);
    expect([statuses, handled]).to.deep.equal([['HTTP/1.1 408'], []]);
  });

  it('is not promised anything on a connection that is closed as idle', async () => {
    await start(IDLE_MS);
    const ended = once(client, 'end');
    await ended;
    client.write(`${HEAD}body`);
    expect(await readStatuses()).to.deep.equal([]);
    expect([handled, malformed]).to.deep.equal([[], ['after_close']]);
  });
});
