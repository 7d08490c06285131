/** Upstreams that answer long uploads at once and break off, between real sockets. */
import {once} from 'node:events';
import {connect} from 'node:net';
import {HEADER_NAMES} from '../../platform/header_names.js';
import {expect} from '../support/chai_setup.js';
import {FleetStandin, Machine, waitForFleet} from './fleet_standin.js';

/** More than the buffers of the sockets hold. */
const BODY = 'x'.repeat(900_000);
const ROUNDS = 4;

/** Sends an upload; returns the first line of what its caller gets. */
async function upload({host, callersPort}: Machine, id: string) {
  const socket = connect(callersPort, host);
  let text = '';
  socket.on('data', chunk => (text += String(chunk)));
  socket.on('error', () => undefined);
  socket.write(
    `POST /charge/${id} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n` +
      `${HEADER_NAMES.requestId}: ${id}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  );
  await once(socket, 'close');
  return text.slice(0, text.indexOf('\r\n'));
}

describe('an answer without length that an upstream resets', () => {
  let fleet: FleetStandin;

  beforeEach(async () => {
    fleet = new FleetStandin((...args) => new Machine(...args));
    await fleet.start(2);
  });

  afterEach(() => fleet.stop());

  /** Lets all calls go to the upstream of one machine. */
  async function useUpstreamOf(owner: number): Promise<void> {
    const other = 3 - owner;
    fleet.register(other, {state: 'draining', seq: 2});
    await waitForFleet(async () => {
      const {instances} = await fleet.readStatus(fleet.machines[0]);
      return instances.some(
        ({id, state}) => id === `i-${other}` && state === 'draining',
      );
    });
  }

  for (const [where, owner] of [
    ['its own', 1],
    ['a remote', 2],
  ] as const) {
    // Guards against MIXED: a part of an answer that looks complete.
    it(`reaches no caller as whole from ${where} upstream`, async () => {
      await useUpstreamOf(owner);
      for (const {upstream} of fleet.machines) {
        upstream.takeRequest = ({socket, headers}) => {
          const id = String(headers[HEADER_NAMES.requestId]);
          socket.write(
            `HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: ${id}\r\n\r\npart`,
          );
          socket.resetAndDestroy();
          return true;
        };
      }
      const lines = new Set<string>();
      for (let n = 0; n < ROUNDS; n += 1) {
        lines.add(await upload(fleet.machines[0], `r-${n}`));
      }
      expect([...lines]).to.deep.equal(['HTTP/1.1 502 Bad Gateway']);
    });
  }
});
