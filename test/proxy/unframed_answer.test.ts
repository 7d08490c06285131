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

interface ResetCase {
  readonly uploadBytes: number;
  readonly partBytes: number;
  /** Time from the part to the reset; undefined: both are sent together. */
  readonly delayMs?: number;
}

/** Gets a part of an answer from a server that reads nothing more and then resets. */
async function exchangeCutByReset({
  uploadBytes,
  partBytes,
  delayMs,
}: ResetCase): Promise<string> {
  const part = 'x'.repeat(partBytes);
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.pause();
      socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${part}`);
      const reset = () => socket.resetAndDestroy();
      if (delayMs === undefined) {
        reset();
      } else {
        setTimeout(reset, delayMs);
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const pools = new ConnectionPools(1);
  const {result} = startExchange(pools.get(`127.0.0.1:${port}`), {
    method: 'POST',
    path: '/',
    headers: {},
    body: new Uint8Array(uploadBytes),
    timeoutMs: 5_000,
    maxAnswerBytes: 20_000_000,
  });
  const answer = await result;
  await pools.destroy();
  server.close();
  return answer.match(
    ({body}) => `whole, ${body.length} of ${partBytes} bytes`,
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

  // Guards against MIXED: the end of input that a reset causes looks like a close.
  it('is never whole where a reset ends it, whatever arrives first', async () => {
    const ends = new Set<string>();
    for (const uploadBytes of [0, 1_000, 8_000_000]) {
      for (const partBytes of [4, 60_000, 3_000_000]) {
        for (const delayMs of [undefined, 0, 2, 30]) {
          const end = await exchangeCutByReset({
            uploadBytes,
            partBytes,
            delayMs,
          });
          // A reset may also overtake the head.
          ends.add(end === 'reset' ? 'truncated' : end);
        }
      }
    }
    expect([...ends]).to.deep.equal(['truncated']);
  });
});
