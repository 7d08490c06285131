/**
 * Compares dissemination settings by convergence time, control traffic and
 * number of watchers in a simulated fleet of 42 proxies in 7 zones and 2
 * regions. The baseline has neither push nor gossip; all proxies watch the
 * source.
 */
import {Settings} from '../../src/model/settings.js';
import {FleetFixture} from '../support/fleet_fixture.js';
import {bootZonedFleet, createTimeoutPatch} from '../support/fleet_patches.js';
import {expect} from '../support/chai_setup.js';

const PROXIES = 42;
const ZONES = 7;
const CHANGES = 10;
const SEED = 7;

/**
 * Bytes of HTTP headers of one message: half of those of an exchange, which
 * control_bytes.test.ts measures.
 */
const HTTP_BYTES = 132;

const QUIET_MS = 30_000;

type Dissemination = Partial<Settings['dissemination']>;

interface Candidate {
  readonly name: string;
  readonly dissemination: Dissemination;
  readonly withoutPush?: boolean;
}

/** Limit of the control traffic of one proxy, in bytes per second. */
const MAX_CONTROL_BYTES_PER_SECOND = 4_096;

const BASELINE = 'all watch the source';

const NEVER_MS = 86_400_000;

const CANDIDATES: readonly Candidate[] = [
  {
    name: BASELINE,
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
    name: 'fast',
    dissemination: {watchersPerZone: 3, fanOut: 8, gossipIntervalMs: 500},
  },
  {
    name: 'economical',
    dissemination: {watchersPerZone: 1, fanOut: 4, gossipIntervalMs: 4_000},
  },
];

const getRegion = (zone: string) =>
  Number(zone.split('-')[1]) < 4 ? 'east' : 'west';

function measure({dissemination, withoutPush}: Candidate) {
  const fleet = bootZonedFleet(PROXIES, ZONES, dissemination, getRegion, SEED);
  if (withoutPush === true) {
    fleet.isRequestLost = ({kind}) => kind === 'push';
  }
  fleet.run(QUIET_MS);
  const quiet = measureBytes(fleet, () => fleet.run(QUIET_MS));
  const watchers = fleet.getWatchers().length;
  const lossless = publishAll(fleet, 0);
  let sent = 0;
  const {isRequestLost} = fleet;
  fleet.isRequestLost = request =>
    isRequestLost(request) || (sent += 1) % 20 === 0;
  const lossy = publishAll(fleet, CHANGES);
  return {
    watchers,
    quietBytesPerSecond: quiet,
    medianMs: lossless[CHANGES / 2],
    worstMs: lossless[CHANGES - 1],
    worstMsOneInTwentyLost: lossy[CHANGES - 1],
  };
}

/** Mean bytes that one proxy sends and receives per second of a quiet run. */
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

/** Publishes changes and returns their convergence times, ascending. */
function publishAll(fleet: FleetFixture, first: number): number[] {
  const times: number[] = [];
  for (let base = first + 1; base <= first + CHANGES; base += 1) {
    fleet.source.publish(createTimeoutPatch(1_000 + base), base);
    const ms = fleet.advanceUntil(() => fleet.allHaveVersion(base + 1));
    times.push(ms ?? Infinity);
    fleet.run(500);
  }
  return times.sort((a, b) => a - b);
}

describe('dissemination settings', () => {
  it('trade convergence time for control bytes and source calls', () => {
    const rows = Object.fromEntries(
      CANDIDATES.map(candidate => [candidate.name, measure(candidate)]),
    );
    console.table(rows);
    const {defaults, fast, economical} = rows;
    expect(fast.worstMs).to.be.at.most(defaults.worstMs);
    expect(economical.quietBytesPerSecond).to.be.below(
      defaults.quietBytesPerSecond,
    );
    expect(economical.watchers).to.be.below(defaults.watchers);
    expect(fast.quietBytesPerSecond).to.be.below(MAX_CONTROL_BYTES_PER_SECOND);
    expect(defaults.watchers).to.be.below(rows[BASELINE].watchers);
    expect(economical.worstMsOneInTwentyLost).to.be.below(9_000);
  });
});
