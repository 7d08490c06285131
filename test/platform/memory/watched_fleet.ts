/** Real proxies whose memory and descriptors are watched. */
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from '../../support/chai_setup.js';
import {FleetStandin, Reply, waitForFleet} from '../fleet_standin.js';
import {ProcessMachine} from '../process_machine.js';
import {createConfigDocument} from '../store_standin.js';
import {MIB} from './bodies.js';
import {RawClient, Reading} from './client.js';
import {ProcessWatch} from './process_watch.js';
import {Handler} from './upstream_handlers.js';

/** Memory and descriptors of the smallest VM. */
const MAX_RESIDENT_KIB = 250 * 1_024;
const MAX_DESCRIPTORS = 4_100;

/** Enough for a crowd and an ordinary request at the same time. */
const SLOTS = 32;

/** Idle intervals in a row after which a process has handled what it was sent. */
const IDLE_INTERVALS = 3;

/** End waits that would not end by themselves; no result depends on the values. */
const MAX_BUSY_MS = 8_000;
const MAX_ANSWER_MS = 15_000;
const RETRY_MS = 250;

export const MAX_BODY_BYTES = 64 * MIB;

const ORDINARY_PATH = '/read/ordinary';

/** Route to the service of the last machine only. */
export const LAST_MACHINE_PATH = '/last/';

function createDocument(maxBodyBytes: number): object {
  const common = {
    host: 'shop.example',
    timeout: '30s',
    aim: '400ms',
    attempts: 2,
    priority: 1,
  };
  const service = {
    'health-path': '/healthz',
    'max-conns': 120,
    protocol: 'h1',
    tls: false,
  };
  return createConfigDocument(1, {
    routes: {
      'r-read': {...common, prefix: '/read/', kind: 'safe', service: 'desk'},
      'r-charge': {
        ...common,
        prefix: '/charge/',
        kind: 'unsafe',
        service: 'desk',
      },
      'r-last': {
        ...common,
        prefix: LAST_MACHINE_PATH,
        kind: 'unsafe',
        service: 'last',
      },
    },
    services: {desk: service, last: service},
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': maxBodyBytes,
      'header-timeout': '3000ms',
      'idle-timeout': '15s',
    },
  });
}

export class WatchedFleet {
  private readonly fleet = new FleetStandin(
    (...args) => new ProcessMachine(...args),
  );
  private readonly clients: RawClient[] = [];
  private watches: readonly ProcessWatch[] = [];

  /** The machine to which clients connect. */
  get entry(): ProcessMachine {
    return this.fleet.machines[0];
  }

  /**
   * @param count - Number of machines.
   * @param maxBodyBytes - Limit on the bodies of requests.
   */
  async start(count: number, maxBodyBytes = MAX_BODY_BYTES): Promise<void> {
    const {fleet} = this;
    await fleet.start(count, createDocument(maxBodyBytes));
    fleet.machines.forEach((_, n) => {
      const service = n === 0 ? 'desk' : 'last';
      fleet.register(n + 1, {service, slots: SLOTS});
    });
    for (const machine of fleet.machines) {
      await waitForFleet(async () => {
        const {instances} = await fleet.readStatus(machine);
        return instances.every(({slots}) => slots === SLOTS);
      });
    }
    this.watches = fleet.machines.map(({pid}) => new ProcessWatch(pid ?? 0));
  }

  /** Handles the requests of crowds; ordinary ones get an answer as usual. */
  handleCrowd(handler: Handler): void {
    for (const {upstream} of this.fleet.machines) {
      upstream.takeRequest = (req, res) => {
        const isOrdinary = req.url === ORDINARY_PATH;
        if (!isOrdinary) {
          handler(req, res);
        }
        return !isOrdinary;
      };
    }
  }

  /**
   * Connects a client to the first machine.
   * @param parts - What it sends.
   * @param reading - Whether it reads answers; by default it does.
   */
  connect(parts: Iterable<Uint8Array>, reading?: Reading): RawClient {
    const {host, callersPort} = this.entry;
    const client = new RawClient(host, callersPort, parts, reading);
    this.clients.push(client);
    return client;
  }

  private get hasEnded(): boolean {
    return this.fleet.machines.some(({exit}) => exit !== undefined);
  }

  /** Waits until the proxies have handled what they were sent, or have ended. */
  private async waitUntilIdle(): Promise<void> {
    const endsAt = performance.now() + MAX_BUSY_MS;
    let idle = 0;
    while (
      idle < IDLE_INTERVALS &&
      !this.hasEnded &&
      performance.now() < endsAt
    ) {
      const states = await Promise.all(this.watches.map(w => w.isIdle()));
      idle = states.every(isIdle => isIdle) ? idle + 1 : 0;
    }
  }

  /** Calls until the answer is 200, or a process has ended or hangs. */
  private async isAnswered(call: () => Promise<Reply>): Promise<boolean> {
    const endsAt = performance.now() + MAX_ANSWER_MS;
    while (!this.hasEnded && performance.now() < endsAt) {
      const reply = await Promise.race([
        call().catch(() => undefined),
        delay(endsAt - performance.now(), undefined, {ref: false}),
      ]);
      if (reply?.status === 200) {
        return true;
      }
      await delay(RETRY_MS);
    }
    return false;
  }

  /**
   * Checks that all proxies live, answer and stay within the bounds, while the clients
   * are still connected, and after they have left.
   * @param test - Title of the test, for the line of figures.
   */
  async check(test: string): Promise<void> {
    await this.waitUntilIdle();
    const open = this.clients.filter(({isOpen}) => isOpen).length;
    const answered: boolean[] = [];
    for (const machine of this.fleet.machines) {
      const calls = [
        () => machine.getInternal('/ready', 1),
        () => machine.getInternal('/metrics', 2),
        () => machine.call('GET', ORDINARY_PATH),
      ];
      for (const call of calls) {
        answered.push(await this.isAnswered(call));
      }
    }
    await Promise.all(this.clients.map(client => client.stop()));
    await this.waitUntilIdle();
    this.watches.forEach(watch => watch.stop());
    const seen = this.fleet.machines.map(({exit}, n) => {
      const {peakKib, peakDescriptors} = this.watches[n];
      return {exit, peakKib, peakDescriptors};
    });
    const figures = seen.map(
      ({exit, peakKib, peakDescriptors}) =>
        `peak ${Math.round(peakKib / 1_024)} MB, ${peakDescriptors} descriptors, ` +
        (exit === undefined ? 'lives' : `ended ${exit.signal ?? exit.code}`),
    );
    const text = `${test}: ${figures.join('; ')}; answers ${answered}; ${open} open`;
    console.log(`      ${text}`);
    for (const {exit, peakKib, peakDescriptors} of seen) {
      expect(exit, text).to.equal(undefined);
      expect(peakKib, text).to.be.below(MAX_RESIDENT_KIB);
      expect(peakDescriptors, text).to.be.below(MAX_DESCRIPTORS);
    }
    expect(answered, text).not.to.include(false);
  }

  async stop(): Promise<void> {
    await Promise.all(this.clients.map(client => client.stop()));
    this.watches.forEach(watch => watch.stop());
    await this.fleet.stop();
  }
}
