/**
 * How late proxies heed an evacuated zone and its end, on real cores, while relays,
 * readers or the source fail, and that no call reaches the zone meanwhile.
 */
import {SeededRandom} from '../../src/experiments/seeded_random.js';
import {getEvacuatedZones} from '../../src/core/mesh/evacuations.js';
import {MeshEffect} from '../../src/core/mesh/mesh_types.js';
import {expect} from '../support/chai_setup.js';
import {Node, SimulatedFleet} from './soak/simulated_fleet.js';

const ZONES = ['east', 'north', 'south'];
const STARTUP_MS = 6_000;
const STEP_MS = 25;
const SETTLE_MS = 6_000;

/**
 * Most time until every proxy knows of a change under a single fault, as for versions.
 * The users' bound is 5 s, within which the next readings would hide most faults here.
 */
const MAX_LAG_MS = 1_500;

/** The users' bound. */
const USERS_BOUND_MS = 5_000;

/** Bound without a fault; updates that are sent at once keep it. */
const MAX_CALM_LAG_MS = 400;

/** Longest time between two waits of a proxy for the next change. */
const READER_MS = 3_200;

/** Time for which a proxy must have run to be bound by what it should know. */
const CALM_MS = 3_000;

type Disturb = (fleet: SimulatedFleet, readers: readonly Node[]) => void;

interface Change {
  readonly atMs: number;
  readonly zone: string;
  readonly evacuated: boolean;
}

function pickNodes(fleet: SimulatedFleet, share: number): Node[] {
  return fleet.nodes.filter(() => fleet.chance.getFraction() < share);
}

function getReaders(fleet: SimulatedFleet): Node[] {
  const since = fleet.clock.now - READER_MS;
  return fleet.nodes.filter(({lastPolledAt}) => lastPolledAt >= since);
}

function cut(fleet: SimulatedFleet, nodes: readonly Node[], ms: number): void {
  for (const node of nodes) {
    node.partitioned = true;
    fleet.disturb(node, ms);
    fleet.after(ms, () => (node.partitioned = false));
  }
}

/** Lets a proxy drop what it is asked to forward. */
function stopForwarding(nodes: readonly Node[], fleet: SimulatedFleet): void {
  for (const node of nodes) {
    fleet.nodes.forEach(other => other.silentPeers.add(node));
  }
}

const FAULTS: Readonly<Record<string, Disturb>> = {
  'a tenth of the proxies frozen': fleet =>
    pickNodes(fleet, 0.1).forEach(node => fleet.freeze(node, 5_000)),
  'a fifth of the proxies frozen': fleet =>
    pickNodes(fleet, 0.2).forEach(node => fleet.freeze(node, 5_000)),
  'a fifth of the proxies cut off': fleet =>
    cut(fleet, pickNodes(fleet, 0.2), 5_000),
  'a proxy that reads frozen': (fleet, [reader]) => fleet.freeze(reader, 5_000),
  'a proxy that reads killed': (fleet, [reader]) => fleet.kill(reader, 1_000),
  'a long poll unanswered': (_fleet, [reader]) => {
    reader.unansweredPolls = true;
  },
  'a third of the proxies refused by the source': fleet =>
    pickNodes(fleet, 0.35).forEach(node => (node.refused = true)),
  'long polls that hear nothing for a second and are cut': fleet =>
    fleet.mutePolls(1_000),
  'a proxy that reads without a link to half of the others': (
    fleet,
    [reader],
  ) =>
    fleet.nodes
      .filter(node => node !== reader && node.host % 2 === 0)
      .forEach(node => {
        node.silentPeers.add(reader);
        reader.silentPeers.add(node);
      }),
  'a tenth of the proxies that send nothing': fleet =>
    stopForwarding(pickNodes(fleet, 0.1), fleet),
};

/** A zone is evacuated and taken back; then two of three, overlapping. */
const CHANGES: readonly Change[] = [
  {atMs: 0, zone: 'east', evacuated: true},
  {atMs: 6_000, zone: 'east', evacuated: false},
  {atMs: 7_000, zone: 'north', evacuated: true},
  {atMs: 7_300, zone: 'south', evacuated: true},
  {atMs: 14_000, zone: 'north', evacuated: false},
  {atMs: 14_200, zone: 'south', evacuated: false},
];

/** Counts attempts that a proxy sends or runs although it knows better. */
function watchAttempts(fleet: SimulatedFleet): string[] {
  const faults: string[] = [];
  fleet.onEffect = (host: number, effect: MeshEffect) => {
    const {state} = fleet.nodes[host - 1];
    const evacuated = getEvacuatedZones(state.fleet.evacuations);
    const zone =
      effect.kind === 'sendAttempt'
        ? state.fleet.instances.get(effect.attempt.instanceId)?.zone
        : effect.kind === 'dispatch'
          ? state.settings.zone
          : undefined;
    if (zone !== undefined && evacuated.includes(zone)) {
      faults.push(`${effect.kind} by ${host} at ${fleet.clock.now}`);
    }
  };
  return faults;
}

/** Calls every proxy all the time. */
function startCalls(fleet: SimulatedFleet, endAt: number): void {
  let count = 0;
  const call = () => {
    const {nodes, chance, clock} = fleet;
    const node = nodes[Math.floor(chance.getFraction() * nodes.length)];
    count += 1;
    const callId = `c-${count}`;
    fleet.post(node, {
      kind: 'callArrived',
      callId,
      call: {
        requestId: `r-${count}`,
        host: 'shop.example',
        path: count % 3 === 0 ? '/charge/1' : '/read/1',
        timeoutMs: 1_200,
        bodyBytes: 0,
        fingerprint: callId,
      },
    });
    if (clock.now < endAt) {
      fleet.after(5, call);
    }
  };
  call();
}

/**
 * Applies changes under a fault, and measures how long each proxy takes to know
 * exactly the zones that are evacuated, without the time in which it is disturbed.
 * @returns The longest time, and attempts that should not have been sent.
 */
function measure(
  proxies: number,
  seed: number,
  disturb?: Disturb,
): {readonly lagMs: number; readonly faults: readonly string[]} {
  const chance = new SeededRandom(seed);
  const fleet = new SimulatedFleet(chance, proxies, {zones: ZONES});
  fleet.clock.runUntil(fleet.clock.now + STARTUP_MS);
  const faults = watchAttempts(fleet);
  const startAt = fleet.clock.now;
  const endAt = startAt + CHANGES.at(-1)!.atMs + SETTLE_MS;
  startCalls(fleet, endAt);
  const pending = new Map<Node, number>();
  for (const {atMs, zone, evacuated} of CHANGES) {
    fleet.after(atMs, () => {
      fleet.evacuate(zone, evacuated);
      fleet.nodes.forEach(node => {
        pending.set(node, pending.get(node) ?? fleet.clock.now);
      });
    });
  }
  // The fault begins just before a change, and again before the next two.
  for (const atMs of [0, 6_990, 13_990]) {
    fleet.after(Math.max(0, atMs - 10), () =>
      disturb?.(fleet, getReaders(fleet)),
    );
  }
  let lagMs = 0;
  while (fleet.clock.now < endAt) {
    fleet.clock.runUntil(fleet.clock.now + STEP_MS);
    const {now} = fleet.clock;
    const expected = fleet.evacuations.getZones().sort().join();
    for (const [node, since] of pending) {
      const from = Math.max(since, node.disturbedUntil);
      const known = getEvacuatedZones(node.state.fleet.evacuations).join();
      if (known === expected && now >= node.frozenUntil) {
        pending.delete(node);
      } else if (node.alive && now >= node.frozenUntil) {
        lagMs = Math.max(lagMs, now - from);
      }
    }
  }
  return {lagMs: Math.round(lagMs), faults};
}

describe('mesh evacuation lag', () => {
  for (const proxies of [80, 6]) {
    it(`stays below 0.4 s with ${proxies} proxies and no fault`, () => {
      const {lagMs, faults} = measure(proxies, 1);
      expect(lagMs).to.be.below(MAX_CALM_LAG_MS);
      expect(faults).to.deep.equal([]);
    });

    for (const [name, disturb] of Object.entries(FAULTS)) {
      it(`stays below 1.5 s with ${proxies} proxies and ${name}`, () => {
        const {lagMs, faults} = measure(proxies, 2, disturb);
        expect(lagMs).to.be.below(MAX_LAG_MS);
        expect(faults).to.deep.equal([]);
      });
    }
  }

  it('is none for a proxy that starts while the source is down', () => {
    const fleet = new SimulatedFleet(new SeededRandom(3), 12, {zones: ZONES});
    fleet.clock.runUntil(STARTUP_MS);
    fleet.evacuate('east', true);
    fleet.clock.runUntil(fleet.clock.now + 2_000);
    fleet.sourceUp = false;
    const faults = watchAttempts(fleet);
    const node = fleet.nodes[4];
    fleet.kill(node, 200);
    fleet.clock.runUntil(fleet.clock.now + 200 + CALM_MS);
    const {evacuations} = node.state.fleet;
    expect(getEvacuatedZones(evacuations)).to.deep.equal(['east']);
    startCalls(fleet, fleet.clock.now + 2_000);
    fleet.clock.runUntil(fleet.clock.now + 4_000);
    expect(faults).to.deep.equal([]);
  });

  it('stays below 5 s after the source was restored, with or without a change', () => {
    for (const keepsChange of [true, false]) {
      const fleet = new SimulatedFleet(new SeededRandom(4), 12, {zones: ZONES});
      fleet.clock.runUntil(STARTUP_MS);
      const before = fleet.getRevision();
      fleet.evacuate('east', true);
      fleet.clock.runUntil(fleet.clock.now + 3_000);
      fleet.restore(keepsChange ? Infinity : before);
      fleet.clock.runUntil(fleet.clock.now + USERS_BOUND_MS);
      for (const node of fleet.nodes) {
        const zones = getEvacuatedZones(node.state.fleet.evacuations);
        expect(zones).to.deep.equal(keepsChange ? ['east'] : []);
      }
      fleet.evacuate('east', !keepsChange);
      fleet.clock.runUntil(fleet.clock.now + USERS_BOUND_MS);
      for (const node of fleet.nodes) {
        const zones = getEvacuatedZones(node.state.fleet.evacuations);
        expect(zones).to.deep.equal(keepsChange ? [] : ['east']);
      }
    }
  });
});
