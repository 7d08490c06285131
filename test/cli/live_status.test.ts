import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {SettingsSchema} from '../../src/model/settings.js';
import {PartLogs} from '../../src/proxy/log.js';
import {ProxyAddresses, ProxyRuntime} from '../../src/proxy/proxy_runtime.js';
import {
  PlatformPorts,
  PlatformStandin,
} from '../../src/standins/platform/platform_standin.js';
import {expect} from '../support/chai_setup.js';
import {run} from './fakes.js';

const ANY_PORT = '127.0.0.1:0';
const POLL_MS = 20;

const SERVICE = {slots: 4, connections: 8};

describe('fireflysill with real proxies', () => {
  const platform = new PlatformStandin({latencyMs: 0});
  const proxies: ProxyRuntime[] = [];
  const addresses: ProxyAddresses[] = [];
  let ports: PlatformPorts;

  before(async () => {
    ports = await platform.start();
    for (const [index, zone] of ['zilina-a', 'martin-c'].entries()) {
      const upstreamId = `bill-${index}`;
      const settings = SettingsSchema.parse({
        upstreamId,
        region: 'centre',
        zone,
        listen: {callers: ANY_PORT, peers: ANY_PORT, operators: ANY_PORT},
        upstream: {address: '127.0.0.1:9'},
        source: `127.0.0.1:${ports.port}`,
        dissemination: {gossipIntervalMs: 20},
        logLevel: 'fatal',
      });
      const proxy = new ProxyRuntime(
        settings,
        new PartLogs(upstreamId, 'fatal'),
      );
      proxies.push(proxy);
      addresses.push(await proxy.start());
    }
  });

  after(async () => {
    await Promise.all(proxies.map(proxy => proxy.stop()));
    await platform.stop();
  });

  async function publish(id: string, base: number, patch: object) {
    const url = `http://127.0.0.1:${ports.sidePort}/side/submissions`;
    const body = JSON.stringify({id, base, patch});
    const answer = await request(url, {method: 'POST', body});
    await answer.body.dump();
  }

  function createPatch(): object {
    const upstreams = addresses.map(({peers}, index) => [
      `bill-${index}`,
      {
        service: 'billing-core',
        region: 'centre',
        zone: index === 0 ? 'zilina-a' : 'martin-c',
        peerAddress: peers,
      },
    ]);
    return {
      services: {'billing-core': SERVICE},
      upstreams: Object.fromEntries(upstreams),
      routes: {charges: {pathPrefix: '/charges', service: 'billing-core'}},
    };
  }

  it('shows that a published version is in force on all proxies', async () => {
    await publish('first', 0, createPatch());
    const source = `127.0.0.1:${ports.port}`;
    const status = ['status', '--json', '--fleet', '--source', source];
    const [first] = addresses;
    for (;;) {
      const {exitCode, out} = await run([
        ...status,
        '--proxy',
        first.operators,
      ]);
      const {proxies: rows, head} = JSON.parse(out) as {
        head: number;
        proxies: Array<Record<string, unknown>>;
      };
      if (exitCode === 0 && head === 1 && rows.length === 2) {
        const shown = rows.map(({id, zone, by, version, lag}) => [
          id,
          zone,
          by,
          version,
          lag,
        ]);
        expect(shown).toMatchSnapshot();
        return;
      }
      await sleep(POLL_MS);
    }
  });

  it('lists the same verdicts as the proxies', async () => {
    await publish('bad-service', 1, {
      routes: {plans: {pathPrefix: '/plans', service: 'desk'}},
    });
    const source = `127.0.0.1:${ports.port}`;
    const listed = await run(['submissions', '--json', '--source', source]);
    const expected = (
      JSON.parse(listed.out) as {
        submissions: Array<{sequence: number; verdict: unknown}>;
      }
    ).submissions.map(({sequence, verdict}) => ({sequence, verdict}));
    expect(expected).toMatchSnapshot();
    for (;;) {
      const answer = await request(
        `http://${addresses[1].operators}/v1/status`,
      );
      const {outcomes} = (await answer.body.json()) as {
        outcomes: Array<{sequence: number; verdict: unknown}>;
      };
      if (outcomes.length === expected.length) {
        const held = outcomes.map(({sequence, verdict}) => ({
          sequence,
          verdict,
        }));
        expect(held).to.deep.equal(expected);
        return;
      }
      await sleep(POLL_MS);
    }
  });
});
