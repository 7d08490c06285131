/**
 * Real proxies beside upstreams that write an earlier refusal once more on a kept
 * connection, where the next answer is due. What an upstream runs must not be reported
 * as not run, nor run twice.
 */
import {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {HEADER_NAMES} from '../../platform/header_names.js';
import {expect} from '../support/chai_setup.js';
import {FleetStandin} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';

const ROUNDS = 6;
const WORK_MS = 40;

/** Statuses that promise that a request has not run. */
const PROMISES = [408, 421, 429, 503];

interface Form {
  readonly status: number;
  readonly hasId: boolean;
  readonly hasHeader: boolean;
  /** Body of the refusal. */
  readonly body: string;
}

const FORMS: Readonly<Record<string, Form>> = {
  'a full upstream': {status: 503, hasId: false, hasHeader: true, body: ''},
  'a full upstream, with the id': {
    status: 503,
    hasId: true,
    hasHeader: true,
    body: '',
  },
  'too many requests': {
    status: 429,
    hasId: false,
    hasHeader: true,
    body: 'later',
  },
  'another instance': {
    status: 421,
    hasId: false,
    hasHeader: false,
    body: 'other',
  },
  'a request without an id': {
    status: 400,
    hasId: false,
    hasHeader: true,
    body: '',
  },
};

/** When the copy is written: relative to the arrival of the next request. */
const MOMENTS: Readonly<Record<string, number | undefined>> = {
  'at once': undefined,
  'as the next request arrives': 0,
  'while the next request runs': WORK_MS / 2,
};

function writeRefusal(
  res: ServerResponse,
  id: string,
  {status, hasId, hasHeader, body}: Form,
): string {
  const headers = {
    ...(hasId ? {[HEADER_NAMES.requestId]: id} : {}),
    ...(hasHeader ? {[HEADER_NAMES.notRun]: '1'} : {}),
    'content-length': String(body.length),
  };
  res.writeHead(status, headers).end(body);
  const lines = Object.entries(headers).map(([k, v]) => `${k}: ${v}\r\n`);
  return `HTTP/1.1 ${status} Refused\r\n${lines.join('')}\r\n${body}`;
}

describe('a refusal that is written once more', () => {
  let fleet: FleetStandin<ProcessMachine>;

  beforeEach(async () => {
    fleet = new FleetStandin((...args) => new ProcessMachine(...args));
    await fleet.start(2);
  });

  afterEach(() => fleet.stop());

  /**
   * Refuses calls for `/refused`. On the same connections, other calls run, and the
   * refusal comes once more before their answers.
   * @returns How many copies lay before an answer so far.
   */
  function repeatRefusals(
    form: Form,
    copyAfterMs: number | undefined,
  ): () => number {
    let copies = 0;
    for (const {upstream} of fleet.machines) {
      upstream.answer = () => delay(WORK_MS, 200);
      const refusedIds = new Map<unknown, string>();
      upstream.intercept = (path, id, res) => {
        const {socket} = res;
        if (path.includes('refused')) {
          const copy = writeRefusal(res, id, form);
          if (copyAfterMs === undefined) {
            copies += 1;
            socket?.write(copy);
          } else {
            refusedIds.set(socket, id);
          }
          return true;
        }
        const refusedId = refusedIds.get(socket);
        refusedIds.delete(socket);
        if (refusedId === undefined) {
          return false;
        }
        copies += 1;
        setTimeout(() => {
          writeRefusal(res, refusedId, form);
          const head = `HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: ${id}\r\n`;
          const body = `${upstream.id} for desk`;
          socket?.write(`${head}content-length: ${body.length}\r\n\r\n${body}`);
        }, copyAfterMs);
        return true;
      };
    }
    return () => copies;
  }

  // Guards against REFUSED and TWICE: the copy is taken for the next request's answer.
  for (const [name, form] of Object.entries(FORMS)) {
    for (const [moment, copyAfterMs] of Object.entries(MOMENTS)) {
      it(`${name}, ${moment}, tells nothing of a later charge`, async () => {
        const getCopies = repeatRefusals(form, copyAfterMs);
        const machines = fleet.machines;
        for (let n = 0; n < ROUNDS; n += 1) {
          const machine = machines[n % machines.length];
          await machine.call('POST', `/charge/refused-${n}`);
          // More than one, so that a copy lies on any of the kept connections.
          await Promise.all(
            machines.map(async (other, k) => {
              const path = `/charge/${n}-${k}`;
              const {status, body} = await other.call('POST', path);
              const runs = machines.flatMap(({upstream}) =>
                upstream.receivedPaths.filter(ran => ran === path),
              );
              expect(runs.length, `runs of ${path}`).to.be.below(2);
              if (runs.length > 0) {
                expect(PROMISES, `${path} ran`).not.to.include(status);
                expect(status, `${path} ran`).not.to.equal(400);
              }
              if (status === 200) {
                expect(body).to.match(/^i-\d for desk$/);
              }
            }),
          );
        }
        if (form.hasId) {
          expect(getCopies()).to.be.above(0);
        }
      });
    }
  }
});
