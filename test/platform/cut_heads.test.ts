/**
 * Real proxies beside upstreams that stop in the middle of an answer's head and close.
 * No caller may get a success, or a part of the head as a body.
 */
import {HEADER_NAMES} from '../../platform/header_names.js';
import {expect} from '../support/chai_setup.js';
import {FleetStandin, Reply} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';

/** Heads of answers, each with its body. */
const HEADS: Readonly<Record<string, readonly [fields: string, body: string]>> =
  {
    'with a length': ['Content-Length: 10\r\nX-Last: 1\r\n', '0123456789'],
    'with a length of 0': ['Content-Length: 0\r\n', ''],
    'in chunks': [
      'Transfer-Encoding: chunked\r\n',
      'a\r\n0123456789\r\n0\r\n\r\n',
    ],
    'until its end': ['Connection: close\r\n', '0123456789'],
  };

const ENDS = ['closed', 'closed late', 'reset'] as const;

/** Time from the last byte to a late end. */
const LATE_MS = 20;

/** Calls at a time; behind sound ones, each has a kept connection. */
const BATCH = 2;

describe('an answer that ends in its head', () => {
  let fleet: FleetStandin<ProcessMachine>;

  before(async () => {
    fleet = new FleetStandin((...args) => new ProcessMachine(...args));
    await fleet.start(2);
  });

  after(() => fleet.stop());

  function createAnswer(id: string, name: string): string {
    const [fields, body] = HEADS[name];
    return (
      'HTTP/1.1 200 OK\r\n' +
      `${HEADER_NAMES.requestId}: ${id}\r\nX-Response-Signature: signed\r\n` +
      `${fields}\r\n${body}`
    );
  }

  // Guards against MIXED: an answer without its whole head looks complete.
  for (const name of Object.keys(HEADS)) {
    for (const end of ENDS) {
      for (const method of ['GET', 'POST']) {
        it(`${name}, ${end}, is no success for ${method}`, async () => {
          const cut = new Set<string>();
          for (const {upstream} of fleet.machines) {
            upstream.intercept = (path, id, res) => {
              if (!path.includes('-')) {
                return false;
              }
              cut.add(path);
              const part = createAnswer(id, name).slice(
                0,
                Number(path.split('-')[1]),
              );
              if (end !== 'reset') {
                res.socket?.write(part);
                setTimeout(
                  () => res.socket?.end(),
                  end === 'closed' ? 0 : LATE_MS,
                );
              } else {
                res.socket?.write(part, () => res.socket?.resetAndDestroy());
              }
              return true;
            };
          }
          const kind = method === 'GET' ? 'read' : 'charge';
          const prefix = `/${kind}/${name.length}${end.length}${method}`;
          const lengths = Array.from(
            {length: createAnswer('', name).indexOf('\r\n\r\n') + 4},
            (_, n) => n,
          );
          const replies: Array<[number, Reply]> = [];
          while (lengths.length > 0) {
            if (method === 'GET') {
              await Promise.all(
                fleet.machines.map(machine =>
                  machine.call(method, '/read/sound'),
                ),
              );
            }
            const batch = lengths.splice(0, BATCH).map(async (length, n) => {
              const machine = fleet.machines[n % 2];
              const path = `${prefix}-${length}`;
              replies.push([length, await machine.call(method, path)]);
            });
            await Promise.all(batch);
          }
          for (const [length, {status, body}] of replies) {
            expect(status, `${length} bytes`).to.be.above(499);
            expect(body, `${length} bytes`).not.to.include('HTTP/1.1 200');
          }
          expect(cut.size).to.equal(replies.length);
          const pids = fleet.machines.map(({pid}) => pid);
          expect(pids).not.to.include(undefined);
        });
      }
    }
  }
});
