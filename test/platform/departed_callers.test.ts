/**
 * Calls whose callers leave before a run has started, between proxies that read their
 * sockets late. Nothing may start long after its caller has left.
 */
import {once} from 'node:events';
import {Socket, connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {HEADER_NAMES} from '../../platform/header_names.js';
import {expect} from '../support/chai_setup.js';
import {FleetStandin, waitForFleet} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';

/** The users' bound on the time from a caller's departure to the start of a run. */
const MAX_START_MS = 500;

/** Time in which whatever is started after a freeze has reached the upstream. */
const SETTLE_MS = 600;

/** Calls that leave together, so that some are read before their end. */
const CALLERS = 12;

/** Largest body that a link sends in one frame, so that no other message overtakes it. */
const FILL_BYTES = 8_000;

/** Fills more than one read of a socket. */
const FILL_CALLS = 24;

/** A caller with a connection of its own. */
class Caller {
  private readonly socket: Socket;
  leftAt = Infinity;

  constructor(machine: ProcessMachine) {
    this.socket = connect(machine.callersPort, machine.host);
    this.socket.on('error', () => undefined);
    this.socket.resume();
  }

  send(path: string, body = ''): void {
    this.socket.write(
      `${body === '' ? 'GET' : 'POST'} ${path} HTTP/1.1\r\n` +
        'host: shop.example\r\n' +
        `${HEADER_NAMES.requestId}: r-${path}\r\n` +
        `${HEADER_NAMES.timeoutMs}: 5000\r\n` +
        `content-length: ${body.length}\r\n\r\n${body}`,
    );
  }

  async leave(): Promise<void> {
    this.leftAt = performance.now();
    this.socket.destroy();
    await once(this.socket, 'close');
  }
}

describe('callers that have left', () => {
  let fleet: FleetStandin<ProcessMachine>;
  let entry: ProcessMachine;
  let owner: ProcessMachine;

  beforeEach(async () => {
    fleet = new FleetStandin((...args) => new ProcessMachine(...args));
    await fleet.start(2);
    [entry, owner] = fleet.machines;
  });

  afterEach(async () => {
    fleet.machines.forEach(machine => machine.setFrozen(false));
    await fleet.stop();
  });

  /** Lets all calls go to the second machine's upstream. */
  async function useRemoteUpstream(): Promise<void> {
    fleet.register(1, {state: 'draining', seq: 2});
    await waitForFleet(async () => {
      const {instances} = await fleet.readStatus(entry);
      return instances.some(({state}) => state !== 'ready');
    });
    await entry.call('GET', '/read/warm');
  }

  /** Sets the slots of the second machine's upstream. */
  async function setSlots(slots: number): Promise<void> {
    fleet.register(2, {slots, seq: 3});
    await waitForFleet(async () => {
      const {instances} = await fleet.readStatus(owner);
      return instances.some(
        ({id, slots: known}) => id === 'i-2' && known === slots,
      );
    });
  }

  /** Sends calls, each on a connection of its own. */
  function startCallers(machine: ProcessMachine, count = CALLERS): Caller[] {
    return Array.from({length: count}, (_, n) => {
      const caller = new Caller(machine);
      caller.send(`/read/left-${n}`);
      return caller;
    });
  }

  /** Gets the late starts of calls whose callers left by `leftAt`. */
  function getLateStarts(leftAt: number): string[] {
    return fleet.machines.flatMap(({upstream}) =>
      upstream.receivedPaths.filter(
        (path, n) =>
          path.includes('left') &&
          upstream.receivedAt[n] > leftAt + MAX_START_MS,
      ),
    );
  }

  for (const where of ['its own', 'a remote']) {
    it(`start nothing at ${where} upstream when an entry reads them late`, async () => {
      if (where === 'a remote') {
        await useRemoteUpstream();
      }
      entry.setFrozen(true);
      const callers = startCallers(entry);
      await delay(150);
      await Promise.all(callers.map(caller => caller.leave()));
      await delay(MAX_START_MS + 300);
      entry.setFrozen(false);
      await delay(SETTLE_MS);
      expect(getLateStarts(callers[0].leftAt)).to.deep.equal([]);
    });
  }

  it('start nothing when the cancellation lies in a later read', async () => {
    await useRemoteUpstream();
    owner.setFrozen(true);
    const caller = new Caller(entry);
    caller.send('/read/left');
    await delay(20);
    const others = Array.from({length: FILL_CALLS}, (_, n) => {
      const other = new Caller(entry);
      other.send(`/read/fill-${n}`, 'x'.repeat(FILL_BYTES));
      return other;
    });
    await delay(30);
    await caller.leave();
    await delay(MAX_START_MS + 80);
    owner.setFrozen(false);
    await delay(SETTLE_MS);
    expect(getLateStarts(caller.leftAt)).to.deep.equal([]);
    await Promise.all(others.map(other => other.leave()));
  });

  it('start nothing from a queue while their entry stands still', async () => {
    await useRemoteUpstream();
    await setSlots(1);
    owner.upstream.answer = path =>
      delay(path.includes('first') ? 1_000 : 30, 200);
    const first = owner.call('GET', '/read/first');
    await delay(50);
    const callers = startCallers(entry, 3);
    await delay(100);
    entry.setFrozen(true);
    await Promise.all(callers.map(caller => caller.leave()));
    await first;
    await delay(300);
    expect(getLateStarts(callers[0].leftAt)).to.deep.equal([]);
  });

  it('start nothing of what they sent behind another request', async () => {
    await useRemoteUpstream();
    await setSlots(1);
    owner.upstream.answer = path =>
      delay(path.includes('first') ? 900 : 30, 200);
    const first = owner.call('GET', '/read/first');
    await delay(50);
    const caller = new Caller(entry);
    caller.send('/read/left-1');
    caller.send('/read/left-2');
    caller.send('/read/left-3');
    await delay(100);
    await caller.leave();
    await first;
    await delay(300);
    expect(getLateStarts(caller.leftAt)).to.deep.equal([]);
  });

  it('start nothing between proxies with little processor time', async () => {
    await useRemoteUpstream();
    owner.upstream.answer = () => delay(20, 200);
    let isOver = false;
    const starve = async (machine: ProcessMachine, runMs: number) => {
      while (!isOver) {
        machine.setFrozen(true);
        await delay(330);
        machine.setFrozen(false);
        await delay(runMs);
      }
    };
    const loops = [starve(entry, 9), starve(owner, 7)];
    const left = new Map<string, number>();
    const waiting: Array<Promise<void>> = [];
    for (let n = 0; n < 120; n += 1) {
      const caller = new Caller(entry);
      caller.send(`/read/left-${n}`);
      const stayMs = 40 + ((n * 53) % 400);
      const leave = async () => {
        await delay(stayMs);
        await caller.leave();
        left.set(`/read/left-${n}`, caller.leftAt);
      };
      waiting.push(leave());
      await delay(30);
    }
    await Promise.all(waiting);
    await delay(2_000);
    isOver = true;
    await Promise.all(loops);
    const {receivedPaths, receivedAt} = owner.upstream;
    const late = receivedPaths
      .map((path, n) => ({
        path,
        ms: receivedAt[n] - (left.get(path) ?? Infinity),
      }))
      .filter(({ms}) => ms > MAX_START_MS)
      .map(({path, ms}) => `${path} ${Math.round(ms)} ms`);
    expect(late).to.deep.equal([]);
  });
});
