/**
 * Compares settings of spreading, and the naive way as a baseline, in a fleet
 * of 42 decision cores in 7 zones and 2 regions.
 */
import {Settings} from '../../src/model/settings.js';
import {FleetFixture} from '../support/fleet_fixture.js';
import {bootZonedFleet, changeTimeout} from '../support/fleet_patches.js';
import {expect} from '../support/chai_setup.js';

const PROXIES = 42;
const ZONES = 7;
const CHANGES = 10;
const SEED = 7;

/** HTTP headers of one message, half of an exchange's (control_bytes.test). */
const HTTP_BYTES = 132;

const QUIET_MS = 30_000;

type Dissemination = Partial<Settings['dissemination']>;

interface Candidate {
  readonly name: string;
  readonly dissemination: Dissemination;
  readonly withoutPush?: boolean;
}

/** What a proxy may spend on control, in bytes a second. */
const BUDGET_BYTES = 4_096;

const NAIVE = 'all watch the source';

const NEVER_MS = 86_400_000;

const CANDIDATES: readonly Candidate[] = [
  {
    name: NAIVE,
    dissemination: {watchersPerZone: 100, gossipIntervalMs: NEVER_MS},
    withoutPush: true,
  },
  {
    name: 'gossip only',
    dissemination: {watchersPerZone: 1},
    withoutPush: true,
  },
  {name: 'defaults', dissemination: {}},
  {
    name: 'Vitalita',
    dissemination: {watchersPerZone: 3, fanOut: 8, gossipIntervalMs: 500},
  },
  {
    name: 'Viveros',
    dissemination: {watchersPerZone: 1, fanOut: 4, gossipIntervalMs: 4_000},
  },
];

const getRegion = (zone: string) =>
  Number(zone.split('-')[1]) < 4 ? 'east' : 'west';

function measure({dissemination, withoutPush}: Candidate) {
  const fleet = bootZonedFleet(PROXIES, ZONES, dissemination, getRegion, SEED);
  if (withoutPush === true) {
    fleet.isLost = ({kind}) => kind === 'push';
  }
  fleet.run(QUIET_MS);
  const quiet = measureBytes(fleet, () => fleet.run(QUIET_MS));
  const watches = fleet.getWatchers().length;
  const whole = publishAll(fleet, 0);
  let sent = 0;
  const {isLost} = fleet;
  fleet.isLost = request => isLost(request) || (sent += 1) % 20 === 0;
  const lossy = publishAll(fleet, CHANGES);
  return {
    watches,
    quietBytesPerSecond: quiet,
    medianMs: whole[CHANGES / 2],
    worstMs: whole[CHANGES - 1],
    worstMsOneInTwentyLost: lossy[CHANGES - 1],
  };
}

/** Mean bytes that one proxy sends and receives in a second. */
function measureBytes(fleet: FleetFixture, run: () => void): number {
  const sum = () => {
    let bytes = 0;
    for (const node of fleet.nodes.values()) {
      bytes += node.sentBytes + node.receivedBytes;
      bytes += node.messages * HTTP_BYTES;
    }
    return bytes;
  };
  const before = sum();
  run();
  return Math.round((sum() - before) / PROXIES / (QUIET_MS / 1_000));
}

/** Times until each change was in force everywhere, ascending. */
function publishAll(fleet: FleetFixture, first: number): number[] {
  const times: number[] = [];
  for (let base = first + 1; base <= first + CHANGES; base += 1) {
    fleet.source.publish(changeTimeout(1_000 + base), base);
    const ms = fleet.runUntil(() => fleet.isInForce(base + 1));
    times.push(ms ?? Infinity);
    fleet.run(500);
  }
  return times.sort((a, b) => a - b);
}

describe('settings of spreading', () => {
  it('trade convergence for control bytes and source calls', () => {
    const rows = Object.fromEntries(
      CANDIDATES.map(candidate => [candidate.name, measure(candidate)]),
    );
    console.table(rows);
    const {defaults, Vitalita: fast, Viveros: thrifty} = rows;
    expect(fast.worstMs).to.be.at.most(defaults.worstMs);
    expect(thrifty.quietBytesPerSecond).to.be.below(
      defaults.quietBytesPerSecond,
    );
    expect(thrifty.watches).to.be.below(defaults.watches);
    expect(fast.quietBytesPerSecond).to.be.below(BUDGET_BYTES);
    expect(defaults.watches).to.be.below(rows[NAIVE].watches);
    expect(thrifty.worstMsOneInTwentyLost).to.be.below(9_000);
  });
});
