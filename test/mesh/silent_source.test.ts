/**
 * How late a version is in force, on real cores, while the source gives a third of the
 * proxies no answers and serves the others. The proxies concerned are picked by what
 * makes a proxy read: its link, its rank, and that it reads already.
 */
import {expect} from '../support/chai_setup.js';
import {SeededRandom} from '../../src/experiments/seeded_random.js';
import {Node, SimulatedFleet} from './soak/simulated_fleet.js';

const STARTUP_MS = 8_000;
const SILENCE_MS = 9_000;

/** The users' bound from the acknowledgement of a version until it is in force. */
const CONFIG_APPLY_MS = 2_000;

const SHARE = 0.35;
const FAST_MBPS = 140;
const SLOW_MBPS = 14;

/** Orders the proxies; the first of them get no answers. */
type Order = (node: Node) => number;

const ORDERS: Readonly<Record<string, Order>> = {
  'the fastest links': ({linkMbps = 0}) => -linkMbps,
  'the slowest links': ({linkMbps = 0}) => linkMbps,
  'the oldest upstreams': ({host}) => host,
  'the newest upstreams': ({host}) => -host,
  'the latest polls': ({lastPolledAt}) => -lastPolledAt,
};

/** Which proxies have fast links. */
const LINKS: Readonly<
  Record<string, (host: number, count: number) => boolean>
> = {
  'oldest fast': (host, count) => host <= count * SHARE,
  'newest fast': (host, count) => host > count * (1 - SHARE),
  'each third fast': host => host % 3 === 0,
  'equal links': () => true,
};

interface Case {
  readonly proxies: number;
  readonly seed: number;
  readonly order: Order;
  readonly isFast: (host: number, count: number) => boolean;
  /** Time from the begin of the silence to the version. */
  readonly changeAfterMs: number;
}

/** Returns the time until the last proxy has the version, in milliseconds. */
function measureLag(options: Case): number {
  const {proxies, seed, order, isFast, changeAfterMs} = options;
  const fleet = new SimulatedFleet(new SeededRandom(seed), proxies, {
    zones: ['east', 'north', 'south'],
  });
  for (const node of fleet.nodes) {
    node.linkMbps = isFast(node.host, proxies) ? FAST_MBPS : SLOW_MBPS;
    node.state.settings = {...node.state.settings, linkMbps: node.linkMbps};
  }
  fleet.clock.runUntil(fleet.clock.now + STARTUP_MS + seed * 130);
  fleet.lags.length = 0;
  [...fleet.nodes]
    .sort((first, second) => order(first) - order(second))
    .slice(0, Math.ceil(proxies * SHARE))
    .forEach(node => fleet.silenceSource(node, SILENCE_MS));
  fleet.after(changeAfterMs, () => fleet.publish());
  fleet.clock.runUntil(fleet.clock.now + SILENCE_MS);
  fleet.recordMissing();
  return Math.round(Math.max(...fleet.lags.map(({ms}) => ms)));
}

describe('a source that is silent to some proxies', () => {
  // Guards against CONFIG: proxies that the source does not answer were appointed, one
  // after the other, to wait for the next version.
  for (const proxies of [6, 20, 60]) {
    for (const [silent, order] of Object.entries(ORDERS)) {
      for (const [links, isFast] of Object.entries(LINKS)) {
        it(`delays no version with ${proxies} proxies, ${links}, silent to ${silent}`, () => {
          for (const [seed, changeAfterMs] of [300, 1_100, 2_500].entries()) {
            const options = {proxies, seed, order, isFast, changeAfterMs};
            const lag = measureLag(options);
            expect(lag, `seed ${seed}`).to.be.below(CONFIG_APPLY_MS);
          }
        });
      }
    }
  }
});
