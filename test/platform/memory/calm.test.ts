/** Single requests of the largest legal size, which must be served. */
import {waitUntil} from '../../../src/standins/harness/wait_for.js';
import {expect} from '../../support/chai_setup.js';
import {
  BodyForm,
  MIB,
  createBody,
  createUploadHead,
  describeBody,
  encodeBody,
} from './bodies.js';
import {RawClient} from './client.js';
import {answerWithSummary} from './upstream_handlers.js';
import {
  LAST_MACHINE_PATH,
  MAX_BODY_BYTES,
  WatchedFleet,
} from './watched_fleet.js';

const TIMES = 3;

/** Size of the body by the form in which it is sent. */
const BODIES: ReadonlyArray<readonly [BodyForm, number]> = [
  ['whole', MAX_BODY_BYTES],
  ['in pieces', MAX_BODY_BYTES],
  ['in large chunks', MAX_BODY_BYTES],
  ['in small chunks', 4 * MIB],
];

const PLACES: ReadonlyArray<readonly [string, string, number]> = [
  ['this machine', '/charge/calm', 1],
  ['another machine', LAST_MACHINE_PATH, 2],
];

describe('a single large request', () => {
  let fleet: WatchedFleet;

  beforeEach(() => {
    fleet = new WatchedFleet();
  });

  afterEach(() => fleet.stop());

  /** Sends a request of each of several clients, one after the other. */
  async function sendInTurn(
    form: BodyForm,
    bytes: number,
    path: string,
    leave: boolean,
  ): Promise<RawClient[]> {
    const parts = encodeBody(form, createBody(bytes));
    const clients: RawClient[] = [];
    for (let n = 0; n < TIMES; n += 1) {
      const head = createUploadHead(form, path, `r-${n}`, bytes);
      const client = fleet.connect([head, ...parts]);
      clients.push(client);
      await waitUntil(`answer ${n}`, () => !client.isOpen || client.hasAnswer);
      if (leave) {
        await client.stop();
      }
    }
    return clients;
  }

  // Guards against DENIED and FAULT: a limit for crowds refuses a legal request.
  for (const [form, bytes] of BODIES) {
    for (const [place, path, machines] of PLACES) {
      const title = `${form}, of ${bytes / MIB} MiB, is served by ${place}`;
      it(title, async () => {
        await fleet.start(machines);
        fleet.handleCrowd(answerWithSummary);
        const clients = await sendInTurn(form, bytes, path, true);
        await fleet.check(title);
        const expected = describeBody(createBody(bytes));
        for (const {status, received} of clients) {
          expect(status).to.equal(200);
          expect(received).to.include(expected);
        }
      });
    }
  }

  // Guards against FAULT: idle connections keep the bodies that they have sent.
  it('leaves no body behind on a kept connection', async () => {
    await fleet.start(1);
    fleet.handleCrowd(answerWithSummary);
    const [path, bytes] = ['/charge/calm', MAX_BODY_BYTES];
    const clients = await sendInTurn('in pieces', bytes, path, false);
    await fleet.check('kept connections');
    expect(clients.map(({status}) => status)).to.deep.equal([200, 200, 200]);
  });
});
