/**
 * Runs one seed: calls under random faults, a recovery period without faults,
 * then a check of the final state.
 */
import {SeededRandom} from '../../../src/experiments/seeded_random.js';
import {CHARGE_ROUTE, createRoute} from '../mesh_fixture.js';
import {FleetOptions, Node, SimulatedFleet} from './simulated_fleet.js';

const PROXY_COUNT = 6;
const STARTUP_MS = 4_000;
const FAULTS_MS = 30_000;
const RECOVERY_MS = 12_000;
const MEAN_CALL_GAP_MS = 12;
const MEAN_FAULT_GAP_MS = 900;
const MEAN_VERSION_GAP_MS = 700;
const TIMEOUT_MS = 1_200;
const MEAN_STAY_MS = 200;

/** Limit of the upstreams while their proxies stop in turn, per second. */
const LOWEST_LIMIT = 3;

/** Longest time between two planned stops in turn. */
const STOP_GAP_MS = 2_500;

/** Share of calls that a run makes, where one is under way beside the entry. */
const NESTED_SHARE = 0.3;
/** Share of the changes of a limit that end it. */
const LIMIT_END_SHARE = 0.3;
/** Time for which polls hear nothing before they are cut. */
const MUTED_MS = 1_000;
/** Share of the links of a proxy that fall silent. */
const SILENT_SHARE = 0.3;
/** Time for which a leaving upstream runs at least. */
const LEAVING_MS = 4_000;

type Fault = (fleet: SimulatedFleet, node: Node, durationMs: number) => void;

const FAULTS: Readonly<Record<string, Fault>> = {
  publish: fleet => fleet.publish(),
  crash: (fleet, node, durationMs) => {
    if (!node.upstreamDown) {
      fleet.crash(node, durationMs);
    }
  },
  kill: (fleet, node, durationMs) => {
    if (node.alive) {
      fleet.kill(node, durationMs);
    }
  },
  stop: (fleet, node) => {
    if (!node.alive || node.stopAt !== undefined) {
      return;
    }
    fleet.stop(node);
    fleet.after(8_000, () => {
      if (!node.alive) {
        fleet.kill(node, 0);
      }
    });
  },
  partition: (fleet, node, durationMs) => {
    fleet.checker.recordOutage(fleet.clock.now + durationMs + STARTUP_MS);
    node.partitioned = true;
    node.partitionedAt = fleet.clock.now;
    fleet.disturb(node, durationMs);
    fleet.after(durationMs, () => (node.partitioned = false));
  },
  sourceDown: (fleet, _node, durationMs) => {
    fleet.checker.recordOutage(fleet.clock.now + durationMs + STARTUP_MS);
    fleet.sourceUp = false;
    fleet.after(durationMs, () => (fleet.sourceUp = true));
  },
  limit: (fleet, node, durationMs) => {
    if (node.upstreamDown) {
      return;
    }
    const isEnd =
      node.limitPerSecond !== undefined &&
      fleet.chance.getFraction() < LIMIT_END_SHARE;
    const perSecond = Math.round(durationMs / 50) / 10;
    fleet.setLimit(node, isEnd ? undefined : perSecond);
  },
  leave: (fleet, node, durationMs) => {
    const {id, incarnation} = node.instance;
    if (node.leaving || node.upstreamDown) {
      return;
    }
    node.leaving = true;
    fleet.after(durationMs + LEAVING_MS, () => {
      if (
        node.instance.id === id &&
        node.instance.incarnation === incarnation &&
        !node.upstreamDown
      ) {
        fleet.crash(node, 100);
      }
    });
  },
  drain: (fleet, node, durationMs) => {
    const {id} = node.instance;
    if (node.instance.state === 'draining' || node.upstreamDown) {
      return;
    }
    fleet.register(node, {state: 'draining'});
    fleet.checker.recordDraining(node, fleet.clock.now);
    fleet.after(durationMs + 2_500, () => {
      if (node.instance.id === id) {
        fleet.crash(node, 100);
      }
    });
  },
};

/** Time for which a poll that gets no answer, or a silent link, lasts. */
const SILENCE_MS = 6_000;

/** Faults that delay updates, beside those of all fleets. */
const UPDATE_FAULTS: Readonly<Record<string, Fault>> = {
  freeze: (fleet, node, durationMs) => {
    if (node.alive && node.stopAt === undefined) {
      fleet.freeze(node, durationMs);
    }
  },
  mutePolls: fleet => {
    fleet.checker.recordOutage(fleet.clock.now + MUTED_MS + STARTUP_MS);
    fleet.mutePolls(MUTED_MS);
  },
  unansweredPolls: (fleet, node) => {
    node.unansweredPolls = true;
    fleet.after(SILENCE_MS, () => (node.unansweredPolls = false));
  },
  refuse: (fleet, node, durationMs) => {
    node.refused = true;
    fleet.disturb(node, durationMs);
    fleet.after(durationMs, () => (node.refused = false));
  },
  silentLinks: (fleet, node) => {
    const others = fleet.nodes.filter(
      other => other !== node && fleet.chance.getFraction() < SILENT_SHARE,
    );
    for (const other of others) {
      other.silentPeers.add(node);
      node.silentPeers.add(other);
      fleet.after(SILENCE_MS, () => {
        other.silentPeers.delete(node);
        node.silentPeers.delete(other);
      });
    }
  },
};

/** Faults that make processes read late, and lose what links carry. */
const LATE_READ_FAULTS: Readonly<Record<string, Fault>> = {
  freeze: UPDATE_FAULTS.freeze,
  starve: (fleet, node, durationMs) => {
    node.readDelayMs = durationMs / STARVED_SHARE;
    fleet.disturb(node, durationMs);
    fleet.after(durationMs, () => (node.readDelayMs = 0));
  },
  restartAll: (fleet, _node, durationMs) => {
    if (fleet.chance.getFraction() > RESTART_ALL_SHARE) {
      return;
    }
    fleet.checker.recordOutage(fleet.clock.now + durationMs + STARTUP_MS);
    fleet.nodes
      .filter(({alive}) => alive)
      .forEach(node => fleet.kill(node, RESTART_ALL_MS));
  },
};

/** A process that stands still cannot stop in time. */
const stopUnlessFrozen: Fault = (fleet, node, durationMs) => {
  if (fleet.clock.now >= node.frozenUntil) {
    FAULTS.stop(fleet, node, durationMs);
  }
};

/** Time for which a process reads late, as a multiple of that delay. */
const STARVED_SHARE = 3;
/** Share of the faults of that kind that restart all proxies, and how long it takes. */
const RESTART_ALL_SHARE = 0.2;
const RESTART_ALL_MS = 1_500;

/** Time for which a zone is evacuated at least; above the users' bound. */
const EVACUATION_MS = 5_500;

const EVACUATION_FAULTS: Readonly<Record<string, Fault>> = {
  evacuate: (fleet, {instance}, durationMs) => {
    const {zone} = instance;
    if (fleet.evacuations.getZones().includes(zone)) {
      return;
    }
    fleet.evacuate(zone, true);
    fleet.after(EVACUATION_MS + durationMs, () => fleet.evacuate(zone, false));
  },
};

/** Result of one seed. */
export interface SoakOutcome {
  readonly violations: readonly string[];
  readonly faults: readonly string[];
  readonly answered: number;
  readonly refused: number;
  readonly lost: number;
  /** Calls whose callers left before an answer. */
  readonly left: number;
}

/** What happens during a run, and how much load there is. */
export interface Scenario {
  readonly proxies: number;
  readonly zones?: readonly string[];
  readonly meanCallGapMs: number;
  /** Share of callers that leave; absent: none. */
  readonly leavingShare?: number;
  readonly slowRuns?: FleetOptions['slowRuns'];
  schedule(fleet: SimulatedFleet, until: number, faults: string[]): void;
}

/** Faults of all kinds at random times. */
export const DRAWN_FAULTS: Scenario = {
  proxies: PROXY_COUNT,
  meanCallGapMs: MEAN_CALL_GAP_MS,
  schedule: (fleet, until, faults) =>
    scheduleFaults(fleet, until, faults, FAULTS, MEAN_FAULT_GAP_MS),
};

/**
 * A fleet in which updates pass relays, with frequent versions and with faults that
 * delay updates, beside those of all fleets.
 */
export const RELAYED_UPDATES: Scenario = {
  proxies: 32,
  zones: ['east', 'north', 'south'],
  meanCallGapMs: 40,
  schedule: (fleet, until, faults) => {
    const drawn = {...FAULTS, ...UPDATE_FAULTS};
    scheduleFaults(fleet, until, faults, drawn, MEAN_FAULT_GAP_MS / 2);
    schedulePublications(fleet, until);
  },
};

/** Zones are evacuated and taken back, under faults of all kinds. */
export const EVACUATIONS: Scenario = {
  proxies: 32,
  zones: ['east', 'north', 'south'],
  meanCallGapMs: 40,
  schedule: (fleet, until, faults) => {
    const drawn = {...FAULTS, ...UPDATE_FAULTS};
    scheduleFaults(fleet, until, faults, drawn, MEAN_FAULT_GAP_MS * 2);
    scheduleFaults(fleet, until, faults, EVACUATION_FAULTS, EVACUATION_MS);
  },
};

/**
 * All proxies stop and start in turn, again and again. The limits of the upstreams
 * are below the load, so that entries ask every owner that is left.
 */
export const STOPS_IN_TURN: Scenario = {
  proxies: 3,
  meanCallGapMs: 60,
  schedule: (fleet, until, faults) =>
    scheduleStops(fleet, until, faults, LOWEST_LIMIT),
};

/**
 * The same without limits, so that entries and owners stop with much work; one run in
 * 30 takes most of its deadline.
 */
export const OVERLAPPING_STOPS: Scenario = {
  proxies: 4,
  meanCallGapMs: 12,
  slowRuns: {share: 1 / 30, ms: 1_000},
  schedule: (fleet, until, faults) =>
    scheduleStops(fleet, until, faults, undefined),
};

/**
 * Callers leave while processes read late, stand still, end, and restart all at once.
 */
export const DEPARTURES: Scenario = {
  proxies: PROXY_COUNT,
  meanCallGapMs: 6,
  leavingShare: 0.4,
  schedule: (fleet, until, faults) => {
    const drawn = {...FAULTS, stop: stopUnlessFrozen};
    scheduleFaults(fleet, until, faults, drawn, MEAN_FAULT_GAP_MS * 2);
    scheduleFaults(fleet, until, faults, LATE_READ_FAULTS, MEAN_FAULT_GAP_MS);
  },
};

/**
 * Runs one seed.
 * @param seed - Determines all random choices.
 * @param scenario - The load and the faults.
 * @returns Violated invariants, injected faults, and how the calls ended.
 */
export function runSoak(
  seed: number,
  scenario: Scenario = DRAWN_FAULTS,
): SoakOutcome {
  const chance = new SeededRandom(seed);
  const {proxies, zones, slowRuns} = scenario;
  const fleet = new SimulatedFleet(chance, proxies, {zones, slowRuns});
  const faults: string[] = [];
  const startAt = fleet.clock.now + STARTUP_MS;
  const recoveryAt = startAt + FAULTS_MS;
  fleet.clock.runUntil(startAt);
  scheduleCalls(fleet, recoveryAt, scenario);
  scenario.schedule(fleet, recoveryAt, faults);
  fleet.clock.runUntil(recoveryAt + RECOVERY_MS);
  fleet.checker.checkFinalState(fleet.nodes, fleet.config.version);
  const {violations} = fleet.checker;
  return {violations, faults, ...fleet.checker.summarize()};
}

function pick<T>(chance: SeededRandom, items: readonly T[]): T {
  return items[Math.floor(chance.getFraction() * items.length)];
}

function scheduleCalls(
  fleet: SimulatedFleet,
  until: number,
  {meanCallGapMs, leavingShare = 0}: Scenario,
): void {
  const {chance, clock} = fleet;
  let count = 0;
  const next = () => {
    if (clock.now >= until) {
      return;
    }
    const node = pick(chance, fleet.nodes);
    if (node.alive && node.state.config !== undefined) {
      count += 1;
      startCall(fleet, node, count);
      if (leavingShare > 0 && chance.getFraction() < leavingShare) {
        const callId = getCallId(count);
        const stayMs = chance.getExponential(MEAN_STAY_MS);
        fleet.after(stayMs, () => fleet.leave(node, callId));
      }
    }
    fleet.after(chance.getExponential(meanCallGapMs), next);
  };
  next();
}

function getCallId(count: number): string {
  return `c-${count}`;
}

function startCall(fleet: SimulatedFleet, node: Node, count: number): void {
  const isCharge = fleet.chance.getFraction() < 0.4;
  const route = isCharge ? CHARGE_ROUTE : createRoute();
  const requestId = getCallId(count);
  const [run] = node.state.work.running.values();
  const isNested =
    run !== undefined && fleet.chance.getFraction() < NESTED_SHARE;
  fleet.checker.recordCall(requestId, {
    node,
    idempotent: route.idempotent,
    attempts: route.attempts,
    startedAt: fleet.clock.now,
    dueAt: fleet.clock.now + TIMEOUT_MS,
  });
  fleet.sendCall(node, requestId, {
    requestId,
    parentId: isNested ? run.attempt.requestId : undefined,
    host: route.host,
    path: `${route.pathPrefix}${count}`,
    timeoutMs: TIMEOUT_MS,
    bodyBytes: 100,
    fingerprint: requestId,
  });
}

function schedulePublications(fleet: SimulatedFleet, until: number): void {
  const next = () => {
    if (fleet.clock.now < until) {
      fleet.publish();
      fleet.after(fleet.chance.getExponential(MEAN_VERSION_GAP_MS), next);
    }
  };
  next();
}

function scheduleStops(
  fleet: SimulatedFleet,
  until: number,
  faults: string[],
  limitPerSecond: number | undefined,
): void {
  let next = 0;
  fleet.nodes.forEach(node => fleet.setLimit(node, limitPerSecond));
  const stopNext = () => {
    if (fleet.clock.now >= until) {
      return;
    }
    const node = fleet.nodes[next % fleet.nodes.length];
    next += 1;
    faults.push(`${Math.round(fleet.clock.now)} stop ${node.host}`);
    FAULTS.stop(fleet, node, 0);
    fleet.after(STOP_GAP_MS * fleet.chance.getFraction(), stopNext);
  };
  stopNext();
}

function scheduleFaults(
  fleet: SimulatedFleet,
  until: number,
  faults: string[],
  kinds: Readonly<Record<string, Fault>>,
  meanGapMs: number,
): void {
  const {chance, clock} = fleet;
  const next = () => {
    if (clock.now >= until) {
      return;
    }
    const name = pick(chance, Object.keys(kinds));
    const node = pick(chance, fleet.nodes);
    const durationMs = 200 + chance.getFraction() * 3_000;
    faults.push(`${Math.round(clock.now)} ${name} ${node.host}`);
    kinds[name](fleet, node, durationMs);
    fleet.after(chance.getExponential(meanGapMs), next);
  };
  next();
}
