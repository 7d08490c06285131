/**
 * Requests whose runs crash real upstreams at each point of the exchange, between real
 * sockets: they are stopped after two crashes. Upstreams that break the same answers at
 * the same points and live on make no request suspect.
 */
import {once} from 'node:events';
import {IncomingMessage, request} from 'node:http';
import {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {HEADER_NAMES} from '../../platform/header_names.js';
import {REASON_HEADER} from '../../src/proxy/headers.js';
import {expect} from '../support/chai_setup.js';
import {FleetStandin, Machine, waitForFleet} from './fleet_standin.js';

/** Longer than it takes a proxy to look twice whether an upstream runs. */
const DOWN_MS = 300;

/** More than the buffers of the sockets hold. */
const LARGE_BODY = 'x'.repeat(900_000);

/** What an upstream writes before it ends, by the identifier of the request. */
const POINTS: Readonly<Record<string, (id: string) => string>> = {
  'before its answer': () => '',
  'in the status line': () => 'HTTP/1.',
  'after an informational head': () =>
    'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
  'in the head': id => createHead(id),
  'after the head': id => `${createHead(id)}Content-Length: 400\r\n\r\n`,
  'in the body': id => `${createHead(id)}Content-Length: 400\r\n\r\npart`,
  'in a chunk': id =>
    `${createHead(id)}Transfer-Encoding: chunked\r\n\r\n9\r\npart`,
  'between two chunks': id =>
    `${createHead(id)}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`,
  'in a body without a length': id => `${createHead(id)}\r\npart`,
  'after bytes that are no answer': () => 'no answer\r\n\r\n',
  "after the head of another request's answer": () =>
    `${createHead('other')}Content-Length: 400\r\n\r\n`,
};

function createHead(id: string): string {
  return `HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: ${id}\r\n`;
}

const REQUESTS = [
  {method: 'GET', prefix: '/read/', body: ''},
  {method: 'POST', prefix: '/read/', body: 'small'},
  {method: 'POST', prefix: '/charge/', body: ''},
  {method: 'POST', prefix: '/charge/', body: LARGE_BODY},
] as const;

type Poison = (typeof REQUESTS)[number];

/** Sends a request; returns its status and the reason of a refusal. */
async function send(
  {host, callersPort: port}: Machine,
  {method, prefix, body}: Poison,
  name: string,
): Promise<string> {
  const headers = {
    host: 'shop.example',
    [HEADER_NAMES.requestId]: `r-${Math.random()}`,
    [HEADER_NAMES.timeoutMs]: '1000',
    'content-length': String(body.length),
  };
  const path = prefix + name;
  const req = request({host, port, method, path, headers, agent: false});
  req.end(body);
  const [res] = (await once(req, 'response')) as [IncomingMessage];
  res.resume();
  await once(res, 'end');
  return `${res.statusCode} ${res.headers[REASON_HEADER] ?? ''}`;
}

/** A fleet of two machines of which only one has an upstream in use. */
interface Site {
  readonly fleet: FleetStandin;
  /** Where requests are sent. */
  readonly entry: Machine;
  /** Where they run. */
  readonly owner: Machine;
  readonly poison: Poison;
}

async function startSite(isOwn: boolean, poison: Poison): Promise<Site> {
  const fleet = new FleetStandin((...args) => {
    const machine = new Machine(...args);
    // Each quarantine is logged as an error.
    machine.logLevel = 'fatal';
    return machine;
  });
  await fleet.start(2);
  const [entry, other] = fleet.machines;
  fleet.register(isOwn ? 2 : 1, {state: 'draining', seq: 2});
  await waitForFleet(async () => {
    const {instances} = await fleet.readStatus(entry);
    return instances.some(({state}) => state === 'draining');
  });
  return {fleet, entry, owner: isOwn ? entry : other, poison};
}

/** Lets the upstream break the runs of a request at a point. */
function breakRuns(
  {owner: {upstream}}: Site,
  name: string,
  part: string,
  end: (socket: Socket) => void,
  isLate: boolean,
): void {
  upstream.takeRequest = req => {
    if (!req.url?.endsWith(name)) {
      return false;
    }
    const {socket} = req;
    const id = String(req.headers[HEADER_NAMES.requestId]);
    const write = () => {
      const text = POINTS[part](id);
      if (text === '') {
        end(socket);
      } else {
        socket.write(text, () => setTimeout(() => end(socket), 5));
      }
    };
    if (isLate) {
      req.resume();
      req.once('end', write);
    } else {
      write();
    }
    return true;
  };
}

/** Waits until the proxy beside the upstream takes work again. */
function waitUntilUp({entry}: Site): Promise<void> {
  return waitForFleet(async () => {
    const status = await send(entry, REQUESTS[0], `up-${Math.random()}`);
    return status.startsWith('200');
  });
}

async function readSuspects({fleet, entry}: Site): Promise<unknown[]> {
  const status: object = await fleet.readStatus(entry);
  return (status as {readonly suspects: unknown[]}).suspects;
}

describe('a run at whose end its upstream ends', () => {
  let sites: Site[];

  before(async () => {
    sites = await Promise.all(
      [true, false].flatMap(isOwn =>
        REQUESTS.map(poison => startSite(isOwn, poison)),
      ),
    );
  });

  after(() => Promise.all(sites.map(({fleet}) => fleet.stop())));

  for (const part of Object.keys(POINTS)) {
    for (const reset of [true, false]) {
      const where = `${part}, ${reset ? 'reset' : 'closed'}`;

      // Guards against BUDGET: a request that crashes upstreams is sent on for ever.
      it(`is repeated by no proxy after two crashes: ${where}`, async () => {
        const results = await Promise.all(
          sites.map(async site => {
            const {owner, entry, poison} = site;
            const name = `poison-${where}`.replaceAll(' ', '-');
            let crashes = 0;
            const end = () => {
              crashes += 1;
              owner.upstream.crash(reset, DOWN_MS);
            };
            // Of a large body, little has been read by then.
            breakRuns(site, name, part, end, poison.body !== LARGE_BODY);
            const replies: string[] = [];
            for (let n = 0; n < 3; n += 1) {
              replies.push(await send(entry, poison, name));
              await delay(DOWN_MS);
              await waitUntilUp(site);
            }
            return {crashes, last: replies.at(-1)};
          }),
        );
        const stopped = {crashes: 2, last: '503 crash_suspected'};
        expect(results).to.deep.equal(sites.map(() => stopped));
      });

      it(`makes nothing suspect if the upstream lives on: ${where}`, async () => {
        const suspects = await Promise.all(
          sites.map(async site => {
            const {entry, poison} = site;
            const before = await readSuspects(site);
            const name = `broken-${where}`.replaceAll(' ', '-');
            const end = (socket: Socket) =>
              reset ? socket.resetAndDestroy() : socket.destroy();
            breakRuns(site, name, part, end, poison.body !== LARGE_BODY);
            for (let n = 0; n < 3; n += 1) {
              await send(entry, poison, name);
            }
            await delay(150);
            return (await readSuspects(site)).length - before.length;
          }),
        );
        expect(suspects).to.deep.equal(sites.map(() => 0));
      });
    }
  }
});
