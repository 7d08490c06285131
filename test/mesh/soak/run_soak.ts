/** Plays one seed: callers and faults for a while, then calm, then the audit. */
import {Chance} from '../../../src/experiments/chance.js';
import {CHARGE_ROUTE, createRoute} from '../mesh_fixture.js';
import {Node, SoakWorld} from './soak_world.js';

const SIZE = 6;
const START_MS = 4_000;
const FAULTS_MS = 30_000;
const CALM_MS = 12_000;
const MEAN_CALL_GAP_MS = 12;
const MEAN_FAULT_GAP_MS = 900;
const TIMEOUT_MS = 1_200;

type Fault = (world: SoakWorld, node: Node, ms: number) => void;

const FAULTS: Readonly<Record<string, Fault>> = {
  publish: world => world.publish(),
  crash: (world, node, ms) => {
    if (!node.upstreamDown) {
      world.crash(node, ms);
    }
  },
  kill: (world, node, ms) => {
    if (node.alive) {
      world.kill(node, ms);
    }
  },
  stop: (world, node) => {
    if (!node.alive || node.stopAt !== undefined) {
      return;
    }
    world.stop(node);
    world.after(8_000, () => {
      if (!node.alive) {
        world.kill(node, 0);
      }
    });
  },
  cut: (world, node, ms) => {
    world.audit.noteOutage(world.clock.now + ms + START_MS);
    node.cut = true;
    world.after(ms, () => (node.cut = false));
  },
  sourceDown: (world, _node, ms) => {
    world.audit.noteOutage(world.clock.now + ms + START_MS);
    world.sourceUp = false;
    world.after(ms, () => (world.sourceUp = true));
  },
  drain: (world, node, ms) => {
    const {id} = node.instance;
    if (node.instance.state === 'draining' || node.upstreamDown) {
      return;
    }
    world.register(node, {state: 'draining'});
    world.audit.noteDraining(node, world.clock.now);
    world.after(ms + 2_500, () => {
      if (node.instance.id === id) {
        world.crash(node, 100);
      }
    });
  },
};

/** What one seed came to. */
export interface SoakOutcome {
  readonly broken: readonly string[];
  readonly faults: readonly string[];
  readonly answered: number;
  readonly refused: number;
  readonly lost: number;
}

/**
 * Plays one seed.
 * @param seed - Decides everything that happens by chance.
 * @returns Broken promises, the faults played, and how the calls ended.
 */
export function runSoak(seed: number): SoakOutcome {
  const chance = new Chance(seed);
  const world = new SoakWorld(chance, SIZE);
  const faults: string[] = [];
  const startAt = world.clock.now + START_MS;
  const calmAt = startAt + FAULTS_MS;
  world.clock.runUntil(startAt);
  planCalls(world, calmAt);
  planFaults(world, calmAt, faults);
  world.clock.runUntil(calmAt + CALM_MS);
  world.audit.finish(world.nodes, world.config.version);
  const {broken} = world.audit;
  return {broken, faults, ...world.audit.summarize()};
}

function pick<T>(chance: Chance, items: readonly T[]): T {
  return items[Math.floor(chance.getShare() * items.length)];
}

function planCalls(world: SoakWorld, until: number): void {
  const {chance, clock} = world;
  let count = 0;
  const next = () => {
    if (clock.now >= until) {
      return;
    }
    const node = pick(chance, world.nodes);
    if (node.alive && node.state.config !== undefined) {
      call(world, node, (count += 1));
    }
    world.after(chance.getExponential(MEAN_CALL_GAP_MS), next);
  };
  next();
}

function call(world: SoakWorld, node: Node, count: number): void {
  const isCharge = world.chance.getShare() < 0.4;
  const route = isCharge ? CHARGE_ROUTE : createRoute();
  const requestId = `c-${count}`;
  world.audit.noteCall(requestId, {
    node,
    idempotent: route.idempotent,
    attempts: route.attempts,
    dueAt: world.clock.now + TIMEOUT_MS,
  });
  world.post(node, {
    kind: 'callArrived',
    callId: requestId,
    call: {
      requestId,
      host: route.host,
      path: `${route.pathPrefix}${count}`,
      timeoutMs: TIMEOUT_MS,
      bodyBytes: 100,
      fingerprint: requestId,
    },
  });
}

function planFaults(world: SoakWorld, until: number, faults: string[]): void {
  const {chance, clock} = world;
  const next = () => {
    if (clock.now >= until) {
      return;
    }
    const name = pick(chance, Object.keys(FAULTS));
    const node = pick(chance, world.nodes);
    const ms = 200 + chance.getShare() * 3_000;
    faults.push(`${Math.round(clock.now)} ${name} ${node.host}`);
    FAULTS[name](world, node, ms);
    world.after(chance.getExponential(MEAN_FAULT_GAP_MS), next);
  };
  next();
}
