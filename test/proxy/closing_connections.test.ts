/** Connections that a response closes, on which the caller has sent a further request. */
import {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {writeCallResult} from '../../src/proxy/http_results.js';
import {Listener, listen} from '../../src/proxy/listener.js';
import {RawClient, RawExchange} from '../platform/raw_client.js';
import {expect} from '../support/chai_setup.js';

/** More than the buffers of both sockets hold, and less than that. */
const SIZES = {unsent: 12 * 1_048_576, unread: 300_000};

const PAUSE_MS = 400;

describe('the response that closes a connection', () => {
  let handled: string[];
  let malformed: string[];
  let listener: Listener;

  beforeEach(async () => {
    handled = [];
    malformed = [];
    listener = await listen(
      '127.0.0.1:0',
      {receiveTimeoutMs: 10_000},
      8,
      kind => malformed.push(kind),
      (req, res) => {
        handled.push(req.url ?? '');
        const body = Buffer.alloc(
          SIZES[req.url === '/unsent' ? 'unsent' : 'unread'],
        );
        const answer = {
          kind: 'answer',
          status: 200,
          headers: {},
          body,
        } as const;
        writeCallResult(res, answer, true);
      },
    );
  });

  afterEach(() => listener.server.close());

  /** Sends a request, and another one while its response is not read. */
  async function sendTwo(path: string): Promise<RawExchange[]> {
    const {port} = listener.server.address() as AddressInfo;
    const client = new RawClient('127.0.0.1', port);
    const first = client.send({id: 'r-1', method: 'GET', path});
    client.pause(PAUSE_MS);
    await delay(PAUSE_MS / 2);
    const second = client.send({id: 'r-2', method: 'GET', path: '/second'});
    await client.waitFor(0);
    return [first, second];
  }

  // Guards against LOST and TWICE: its caller sends the request again.
  it('is not followed by a request that runs', async () => {
    const exchanges = await sendTwo('/unsent');
    expect(handled).to.deep.equal(['/unsent']);
    expect(malformed).to.deep.equal(['after_close']);
    expect(exchanges.map(({status}) => status)).to.deep.equal([200, undefined]);
  });

  // Guards against LOST: bytes that arrive at a closed connection reset it.
  it('reaches a caller that sends on before it reads', async () => {
    const exchanges = await sendTwo('/unread');
    expect(exchanges.map(({status}) => status)).to.deep.equal([200, undefined]);
  });
});
