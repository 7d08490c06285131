/** Tests that only its slots limit the concurrency of an upstream. */
import {createServer, RequestListener, Server, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';
import {Agent, request} from 'undici';
import {PartLogs} from '../../src/proxy/log.js';
import {ProxyRuntime} from '../../src/proxy/proxy_runtime.js';
import {createServicePatch, createSettings} from '../support/core_fixture.js';
import {expect} from '../support/chai_setup.js';

const CALLS = 100;

async function startServer(handle: RequestListener): Promise<[Server, string]> {
  const server = createServer(handle);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return [server, `127.0.0.1:${port}`];
}

function writeJson(res: ServerResponse, value: unknown): void {
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(value));
}

describe('concurrency', () => {
  it('of one upstream reaches its slots', async () => {
    const pendingResponses: ServerResponse[] = [];
    const [upstream, upstreamAddress] = await startServer((req, res) => {
      if (req.url === '/health') {
        return writeJson(res, {status: 'ok'});
      }
      pendingResponses.push(res);
      // No request is answered before all of them run.
      if (pendingResponses.length === CALLS) {
        pendingResponses.forEach(other => other.end('done'));
      }
    });
    const patch = createServicePatch(['desk-1'], {
      slots: 200,
      connections: 250,
    });
    const submission = {sequence: 1, id: 'a', base: 0, publishedAt: 1, patch};
    const [source, sourceAddress] = await startServer((req, res) =>
      writeJson(res, {
        head: 1,
        submissions: req.url?.includes('after=0') ? [submission] : [],
      }),
    );
    const listen = {
      callers: '127.0.0.1:0',
      peers: '127.0.0.1:0',
      operators: '127.0.0.1:0',
    };
    const settings = createSettings('desk-1', {
      listen,
      source: sourceAddress,
    });
    settings.upstream.address = upstreamAddress;
    const proxy = new ProxyRuntime(settings, new PartLogs('desk-1', 'fatal'));
    const {callers, operators, peers} = await proxy.start();
    // The configuration must contain the port that the system chose.
    patch.upstreams = {
      'desk-1': {
        service: 'desk',
        region: 'centre',
        zone: 'zilina-a',
        peerAddress: peers,
      },
    };
    const agent = new Agent({connections: CALLS});
    const isReady = async () =>
      (await request(`http://${operators}/readyz`)).statusCode === 200;
    while (!(await isReady())) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    const calls = Array.from({length: CALLS}, async () => {
      const url = `http://${callers}/plan`;
      const res = await request(url, {dispatcher: agent});
      return (await res.body.text()) === 'done';
    });
    expect((await Promise.all(calls)).every(done => done)).to.equal(true);
    await agent.close();
    proxy.startDrain();
    await proxy.drained;
    await proxy.stop();
    source.closeAllConnections();
    source.close();
    upstream.closeAllConnections();
    upstream.close();
  });
});
