/** Real proxies beside upstreams whose answers are not HTTP. */
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from '../support/chai_setup.js';
import {FleetStandin, waitForFleet} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';

/** Time-out of the routes, and half a second in which their calls must be answered. */
const ANSWER_WITHIN_MS = 1_700;

const SPOILED: Readonly<Record<string, (id: string) => string>> = {
  'status 000': id => `HTTP/1.1 000 OK\r\nX-Request-Id: ${id}\r\n\r\n`,
  'status 099 and a length': id =>
    `HTTP/1.1 099 OK\r\nX-Request-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`,
  'an informational head without an end': () => 'HTTP/1.1 100 Continue\r\n\r\n',
  'switched protocols': () =>
    'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
  'two lengths': () =>
    'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
  'a length and chunks': () =>
    'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
  'no protocol': () => '\0\0\0\0\r\n\r\n',
};

describe('spoiled answers', () => {
  let fleet: FleetStandin<ProcessMachine>;

  beforeEach(async () => {
    fleet = new FleetStandin((...args) => new ProcessMachine(...args));
    await fleet.start(2);
  });

  afterEach(() => fleet.stop());

  /** Reads how often a proxy's event loop stood still. */
  async function readStalls(machine: ProcessMachine): Promise<string[]> {
    const {body, status} = await machine.getInternal('/metrics', 2);
    expect(status).to.equal(200);
    return body.match(/^fireflysill_event_loop_stalled_total\{.*$/gm) ?? [];
  }

  // Guards against CONFIG: an assertion that a spoiled answer fails makes Node.js parse
  // the bundle's source, and the proxy reads no socket for seconds.
  for (const [name, spoil] of Object.entries(SPOILED)) {
    it(`with ${name} do not keep a proxy from its other calls`, async () => {
      const {machines} = fleet;
      const [{pid}] = machines;
      for (const {upstream} of machines) {
        upstream.intercept = (path, id, res) => {
          const isSpoiled = path.includes('spoiled');
          if (isSpoiled) {
            res.socket?.end(spoil(id));
          }
          return isSpoiled;
        };
      }
      const spoiled = machines.map((machine, n) =>
        machine.call('GET', `/read/spoiled-${n}`),
      );
      await waitForFleet(async () =>
        machines.some(({upstream}) => upstream.receivedPaths.length > 0),
      );
      const answered = await Promise.race([
        Promise.all(machines.map(m => m.call('GET', '/read/sound'))),
        delay(ANSWER_WITHIN_MS, undefined, {ref: false}),
      ]);
      expect(answered?.map(({status}) => status)).to.deep.equal([200, 200]);
      for (const {status} of await Promise.all(spoiled)) {
        expect(status).to.be.above(499);
      }
      for (const machine of machines) {
        expect(await readStalls(machine)).to.deep.equal([]);
      }
      expect(machines[0].pid).to.equal(pid);
    });
  }
});
