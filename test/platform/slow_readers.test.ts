/** Callers that still read their answers while a real proxy makes a planned stop. */
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {HEADER_NAMES} from '../../platform/header_names.js';
import {expect} from '../support/chai_setup.js';
import {FleetStandin} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';

/** More than the buffers of the sockets hold. */
const BODY = Buffer.alloc(15_000_000, 'abcdefgh');

/** Sent so long after the signal, while the platform still sends callers. */
const SENT_AFTER_MS = 900;

/** From then on the caller reads; longer than a stop without calls takes. */
const READ_AFTER_MS = 2_600;

describe('a planned stop with callers that read slowly', () => {
  const fleet = new FleetStandin((...args) => new ProcessMachine(...args));

  before(async () => {
    await fleet.start(2);
    for (const {upstream} of fleet.machines) {
      upstream.intercept = (_path, requestId, res) => {
        res.writeHead(200, {
          [HEADER_NAMES.requestId]: requestId,
          'content-length': BODY.length,
        });
        res.end(BODY);
        return true;
      };
    }
  });

  after(() => fleet.stop());

  // Guards against LOST: the process ends once all runs have ended.
  it('cuts none of their answers', async () => {
    const [machine] = fleet.machines;
    const exit = machine.terminate();
    await delay(SENT_AFTER_MS);
    const sizes = [1, 2, 3].map(async n => {
      const socket = connect(machine.callersPort, machine.host);
      socket.write(
        `GET /read/${n} HTTP/1.1\r\nHost: shop.example\r\n` +
          `${HEADER_NAMES.requestId}: r-${n}\r\n` +
          `${HEADER_NAMES.timeoutMs}: 5000\r\n\r\n`,
      );
      await delay(READ_AFTER_MS);
      let received = 0;
      socket.on('data', chunk => (received += chunk.length));
      await once(socket, 'end');
      return received > BODY.length;
    });
    expect(await Promise.all(sizes)).to.deep.equal([true, true, true]);
    expect(await exit).to.deep.equal({code: 0, signal: undefined});
  });
});
