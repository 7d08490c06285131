/** Bytes between proxies and calls to the source while nothing changes. */
import {MessageCodec} from '../../src/mesh/message_codec.js';
import {SeededRandom} from '../../src/experiments/seeded_random.js';
import {expect} from '../support/chai_setup.js';
import {SimulatedFleet} from './soak/simulated_fleet.js';

const STARTUP_MS = 6_000;
const MEASURED_MS = 6_000;

/** What a proxy may send for control, from the users' two-year target. */
const MAX_BYTES_PER_SECOND = 4_096;

/** Bytes of a frame around a message. */
const FRAME_BYTES = 13;

interface Traffic {
  readonly meanBytes: number;
  readonly mostBytes: number;
  readonly callsPerSecond: number;
}

function measure(proxies: number, zoneCount: number): Traffic {
  const zones = Array.from({length: zoneCount}, (_, n) => `zone-${n}`);
  const fleet = new SimulatedFleet(new SeededRandom(1), proxies, {zones});
  const codec = new MessageCodec([]);
  const bytesByHost = new Map<number, number>();
  fleet.onEffect = (host, effect) => {
    if (effect.kind === 'sendMessage') {
      const bytes = codec.encode(effect.message, true).length + FRAME_BYTES;
      bytesByHost.set(host, (bytesByHost.get(host) ?? 0) + bytes);
    }
  };
  fleet.clock.runUntil(fleet.clock.now + STARTUP_MS);
  bytesByHost.clear();
  fleet.sourceCalls.clear();
  fleet.clock.runUntil(fleet.clock.now + MEASURED_MS);
  const seconds = MEASURED_MS / 1_000;
  const rates = [...bytesByHost.values()].map(n => n / seconds);
  const calls = [...fleet.sourceCalls.values()].reduce((a, b) => a + b, 0);
  return {
    meanBytes: Math.round(rates.reduce((a, b) => a + b, 0) / proxies),
    mostBytes: Math.round(Math.max(...rates)),
    callsPerSecond: Math.round((calls / seconds) * 10) / 10,
  };
}

describe('mesh control traffic', () => {
  for (const [proxies, zones] of [
    [14, 4],
    [80, 4],
  ]) {
    it(`stays below 4 KB a second for each of ${proxies} proxies`, () => {
      const traffic = measure(proxies, zones);
      expect(traffic.mostBytes).to.be.below(MAX_BYTES_PER_SECOND);
      expect(traffic.callsPerSecond).to.be.below(4);
    });
  }
});
