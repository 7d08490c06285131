import {AddressInfo, connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {request, Agent} from 'undici';
import {SettingsSchema} from '../../src/model/settings.js';
import {
  closeGracefully,
  listen,
  Listener,
  stopAccepting,
} from '../../src/proxy/listener.js';
import {expect} from '../support/chai_setup.js';

const ANY_PORT = '127.0.0.1:0';

/** More than the buffers of both sockets hold. */
const LARGE_BYTES = 15_000_000;

describe('listener', () => {
  let listener: Listener;
  let agent: Agent;

  beforeEach(async () => {
    const {limits} = SettingsSchema.shape;
    listener = await listen(
      ANY_PORT,
      limits.parse({}),
      100,
      () => {},
      (req, res) => {
        // Closes the connection after the last request, to shorten the test.
        res.setHeader(
          'connection',
          req.url === '/last' ? 'close' : 'keep-alive',
        );
        res.end(req.url === '/large' ? Buffer.alloc(LARGE_BYTES) : 'whole');
      },
    );
    agent = new Agent({connections: 1});
  });

  afterEach(() => agent.destroy());

  async function get(path: string, dispatcher: Agent): Promise<string> {
    try {
      const url = `http://${listener.address}${path}`;
      return await (await request(url, {dispatcher})).body.text();
    } catch (error) {
      return (error as {code: string}).code;
    }
  }

  it('answers the last request on a connection that was idle', async () => {
    const before = await get('/first', agent);
    const closed = closeGracefully(listener);
    const during = await get('/last', agent);
    await closed;
    expect([before, during]).to.deep.equal(['whole', 'whole']);
  });

  // Guards against LOST: an answer that is still written counts as idle.
  it('writes an answer that its client reads slowly to the end', async () => {
    const {port} = listener.server.address() as AddressInfo;
    const client = connect(port, '127.0.0.1');
    client.write('GET /large HTTP/1.1\r\nHost: a\r\n\r\n');
    await delay(200);
    const closed = closeGracefully(listener);
    await delay(1_500);
    let received = 0;
    client.on('data', chunk => (received += chunk.length));
    await closed;
    await delay(200);
    expect(received).to.be.greaterThan(LARGE_BYTES);
  });

  it('refuses new connections once it stops accepting', async () => {
    const other = new Agent();
    const before = await get('/first', agent);
    stopAccepting(listener);
    const refused = await get('/first', other);
    const during = await get('/last', agent);
    await closeGracefully(listener);
    await other.destroy();
    expect([before, refused, during]).to.deep.equal([
      'whole',
      'ECONNREFUSED',
      'whole',
    ]);
  });
});
