/** Calls whose callers close their connection before the answers. */
import {once} from 'node:events';
import {Server, createServer} from 'node:http';
import {AddressInfo, Socket, connect} from 'node:net';
import {PendingCalls} from '../../src/proxy/pending_calls.js';
import {expect} from '../support/chai_setup.js';

const OUTBOUND = {
  method: 'GET',
  path: '/',
  headers: {},
  body: new Uint8Array(0),
};

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

describe('pending calls', () => {
  let server: Server;
  let socket: Socket;
  let calls: PendingCalls;
  const gone: string[] = [];

  beforeEach(async () => {
    gone.length = 0;
    let added = 0;
    calls = new PendingCalls(callId => gone.push(callId));
    server = createServer((req, res) => {
      calls.add(String(req.url), res, OUTBOUND);
      added += 1;
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    const paths = ['/1', '/2', '/3'];
    const sent = paths.map(path => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
    socket.write(sent.join(''));
    await waitFor(() => added === paths.length);
  });

  afterEach(() => {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  });

  it('end with their connection, also behind another request', async () => {
    socket.destroy();
    await waitFor(() => gone.length > 0);
    expect(gone).to.deep.equal(['/1', '/2', '/3']);
    expect(calls.getOutbound('/2')).to.equal(undefined);
  });

  it('end once their caller sends no more, except those answered', async () => {
    calls.removeAndGetResponse('/1')?.end();
    socket.end();
    await waitFor(() => gone.length > 0);
    expect(gone).to.deep.equal(['/2', '/3']);
  });
});
