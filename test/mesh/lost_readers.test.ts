/**
 * How late calm proxies learn of a removed upstream and of a version, on real cores,
 * while the proxies that read the source are lost, several of them at once or one after
 * the other. The change comes right after a reading, so that the next one is late most.
 */
import {expect} from '../support/chai_setup.js';
import {SeededRandom} from '../../src/experiments/seeded_random.js';
import {getSeeds} from './soak/seeds.js';
import {Node, SimulatedFleet} from './soak/simulated_fleet.js';

const STARTUP_MS = 6_000;
const SETTLE_MS = 6_000;

/** Time after a reading at which its update has reached all proxies. */
const AFTER_READING_MS = 10;

/** The users' bound from an acknowledged change until calm proxies obey it. */
const MAX_LAG_MS = 2_000;

/** Age of the list at which each proxy has read it. */
const LIST_AGE_MS = 1_400;

/** Most readings in twice that time, the regular ones included. */
const MAX_READINGS = 30;

/** Part of the proxies that are lost; most in a list of the users' disturbances. */
const LOST_SHARE = 0.55;

/** Times from the first losses to the changes, by turns. */
const CHANGES_AFTER_MS = [1, 300, 900, 1_500];

const DEFAULT_SEEDS = '0-3';

const ZONES = ['east', 'north', 'south'];
const DOWN_MS = 4_000;
/** They go on, with what they read before, just before others read in their place. */
const PAUSE_MS = 1_000;

/** How a proxy is lost to the others. */
type Loss = (fleet: SimulatedFleet, node: Node) => void;

const LOSSES: Readonly<Record<string, Loss>> = {
  killed: (fleet, node) => fleet.kill(node, DOWN_MS),
  frozen: (fleet, node) => fleet.freeze(node, DOWN_MS),
  'frozen for a second': (fleet, node) => fleet.freeze(node, PAUSE_MS),
  stopped: (fleet, node) => fleet.stop(node),
};

interface Case {
  readonly proxies: number;
  readonly seed: number;
  readonly heartbeatMs: number;
  /** Time from the first losses to the changes. */
  readonly changeAfterMs: number;
  /** Lets proxies be lost from now on; those of `nodes` may be. */
  readonly disturb: (fleet: SimulatedFleet, nodes: readonly Node[]) => void;
}

/** Calls a function right after the next reading of the list. */
function runAfterReading(fleet: SimulatedFleet, run: () => void): void {
  fleet.onEffect = (_host, effect) => {
    if (effect.kind === 'readSource' && effect.request.kind === 'fleet') {
      fleet.onEffect = undefined;
      fleet.after(AFTER_READING_MS, run);
    }
  };
}

/** Largest lags of the proxies that nothing has happened to, in milliseconds. */
function measureLags(options: Case): {removal: number; version: number} {
  const {proxies, seed, heartbeatMs, changeAfterMs, disturb} = options;
  const fleet = new SimulatedFleet(new SeededRandom(seed), proxies, {
    zones: ZONES,
  });
  for (const node of fleet.nodes) {
    node.state.settings = {...node.state.settings, heartbeatMs};
  }
  fleet.startHeartbeats(heartbeatMs);
  fleet.clock.runUntil(fleet.clock.now + STARTUP_MS + seed * 130);
  fleet.lags.length = 0;
  // Beside the oldest upstreams are the proxies that rank first.
  const nodes = fleet.nodes.slice(0, Math.ceil(proxies * LOST_SHARE));
  const calm = new Set(fleet.nodes.slice(nodes.length).map(({host}) => host));
  runAfterReading(fleet, () => {
    disturb(fleet, nodes);
    fleet.after(changeAfterMs, () => {
      fleet.deregister(fleet.nodes[proxies - 1]);
      fleet.publish();
    });
  });
  fleet.clock.runUntil(fleet.clock.now + SETTLE_MS);
  fleet.recordMissing();
  const getLargest = (subject: string) =>
    fleet.lags
      .filter(lag => calm.has(lag.host) && lag.subject.startsWith(subject))
      .reduce((largest, {ms}) => Math.max(largest, Math.round(ms)), 0);
  return {removal: getLargest('removal'), version: getLargest('version')};
}

function expectInTime(options: Omit<Case, 'seed' | 'changeAfterMs'>): void {
  for (const seed of getSeeds(process.env.SOAK_SEEDS ?? DEFAULT_SEEDS)) {
    const changeAfterMs = CHANGES_AFTER_MS[seed % CHANGES_AFTER_MS.length];
    const lags = measureLags({...options, seed, changeAfterMs});
    const where = `seed ${seed}, change after ${changeAfterMs} ms`;
    expect(lags.removal, `removal, ${where}`).to.be.within(1, MAX_LAG_MS);
    expect(lags.version, `version, ${where}`).to.be.within(1, MAX_LAG_MS);
  }
}

// Guards against DRAIN and CONFIG: each further lost reader delayed the next reading,
// and its age alone kept upstreams that were no longer listed.
describe('a list whose readers are lost', () => {
  for (const proxies of [9, 30]) {
    for (const [name, lose] of Object.entries(LOSSES)) {
      for (const gapMs of [0, 100, 400]) {
        for (const heartbeatMs of [300, 870]) {
          it(`reaches ${proxies} proxies in time, readers ${name} each ${gapMs} ms, heartbeats ${heartbeatMs} ms`, () => {
            const disturb: Case['disturb'] = (fleet, nodes) =>
              nodes.forEach((node, n) =>
                fleet.after(n * gapMs, () => lose(fleet, node)),
              );
            expectInTime({proxies, heartbeatMs, disturb});
          });
        }
      }
    }
  }

  for (const proxies of [9, 60]) {
    for (const [name, lose] of Object.entries(LOSSES)) {
      for (const kind of ['fleet', 'nextConfig']) {
        it(`reaches ${proxies} proxies in time, each reader ${name} as it asks for ${kind}`, () => {
          const disturb: Case['disturb'] = (fleet, nodes) => {
            const left = new Set(nodes);
            fleet.onEffect = (host, effect) => {
              const node = fleet.nodes[host - 1];
              const isReading =
                effect.kind === 'readSource' && effect.request.kind === kind;
              if (isReading && left.delete(node)) {
                fleet.after(1, () => lose(fleet, node));
              }
            };
          };
          expectInTime({proxies, heartbeatMs: 870, disturb});
        });
      }
    }
  }
});

/** Readings by the proxies that are left, until one of them has told all others. */
function countReadings(proxies: number, lostReaders: number): number {
  const fleet = new SimulatedFleet(new SeededRandom(1), proxies, {
    zones: ['a', 'b', 'c', 'd', 'e'],
  });
  fleet.startHeartbeats(1_500);
  fleet.clock.runUntil(fleet.clock.now + STARTUP_MS);
  let readings = 0;
  runAfterReading(fleet, () => {
    fleet.nodes
      .slice(0, lostReaders)
      .forEach(node => fleet.freeze(node, DOWN_MS));
    fleet.onEffect = (_host, effect) => {
      const isReading =
        effect.kind === 'readSource' && effect.request.kind === 'fleet';
      readings += isReading ? 1 : 0;
    };
  });
  fleet.clock.runUntil(fleet.clock.now + LIST_AGE_MS * 2);
  return readings;
}

describe('the readings after a loss of readers', () => {
  // Guards against a herd of readers: proxies without a delay of their own read at once.
  for (const proxies of [30, 195, 630]) {
    it(`are few in a fleet of ${proxies}`, () => {
      for (const lostReaders of [3, 6]) {
        const readings = countReadings(proxies, lostReaders);
        expect(readings, `${lostReaders} lost`).to.be.within(1, MAX_READINGS);
      }
    });
  }
});
