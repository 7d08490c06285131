/** Tests that an answer without length is complete only after a clean close. */
import {once} from 'node:events';
import {AddressInfo, createServer} from 'node:net';
import {ConnectionPools} from '../../src/proxy/connection_pools.js';
import {startExchange} from '../../src/proxy/http_exchange.js';
import {expect} from '../support/chai_setup.js';

/** Gets half an answer from a server that then ends the connection. */
async function exchangeEndedBy(end: 'close' | 'reset'): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf', () =>
        // Lets the client read the first half before the connection ends.
        setTimeout(
          () => (end === 'reset' ? socket.resetAndDestroy() : socket.end()),
          50,
        ),
      );
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const pools = new ConnectionPools(1);
  const {result} = startExchange(pools.get(`127.0.0.1:${port}`), {
    method: 'GET',
    path: '/',
    headers: {},
    body: new Uint8Array(0),
    timeoutMs: 5_000,
    maxAnswerBytes: 1_000,
  });
  const answer = await result;
  await pools.destroy();
  server.close();
  return answer.match(
    ({body}) => `whole ${Buffer.from(body).toString()}`,
    failure => failure,
  );
}

describe('answer without length', () => {
  it('is whole when the connection closes', async () => {
    expect(await exchangeEndedBy('close')).to.equal('whole half');
  });

  it('is cut short when the connection is reset', async () => {
    expect(await exchangeEndedBy('reset')).to.equal('truncated');
  });
});
