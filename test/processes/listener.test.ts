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
        res.end('whole');
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
