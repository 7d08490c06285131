/** Random interleavings of events and faults in fleets of 3 to 9 proxy cores. */
import fc from 'fast-check';
import {Patch} from '../../src/model/config.js';
import {createUuidV7Key} from '../owner/owner_fixture.js';
import {expect} from '../support/chai_setup.js';
import {InterleavedFleet, createFleetPatch, Node} from './interleaved_fleet.js';
import {getFuzzOptions} from './fuzz_options.js';

const WEIGHTS = {
  deliver: 40,
  complete: 8,
  execute: 2,
  failUpstream: 2,
  advance: 10,
  call: 10,
  resend: 6,
  disconnectCaller: 1,
  drop: 2,
  reportLostButKeep: 3,
  duplicate: 2,
  pause: 1,
  resume: 2,
  restart: 1,
  publish: 3,
  readSource: 4,
  drain: 1,
} as const;

type Action = keyof typeof WEIGHTS;

interface Step {
  readonly action: Action;
  /** Selects the node, and a variant of the action. */
  readonly n: number;
  /** Selects the message, request or call, and a variant of the action. */
  readonly m: number;
}

const action = fc.oneof(
  ...Object.entries(WEIGHTS).map(([name, weight]) => ({
    weight,
    arbitrary: fc.constant(name as Action),
  })),
);
const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.record({action, n: fc.nat(1_000), m: fc.nat(1_000)}),
  {minLength: 20, maxLength: 400, size: 'max'},
);

/** Callers must not resend a key after its lifetime. */
const RESEND_WITHIN_MS = 20_000;
const ADVANCES_MS = [1, 5, 20, 50, 200, 1_000];
const TIMEOUTS_MS = [5_000, 1_000, 5_000, 100, 5_000, 1, 5_000];
const RECOVERY_MS = 20_000;

interface IssuedKey {
  readonly key: string;
  readonly createdAt: number;
}

function pick<T>(items: readonly T[], n: number): T | undefined {
  return items.length === 0 ? undefined : items[n % items.length];
}

/** Creates a patch of the upstreams or the service; some are invalid. */
function createPatch(ids: readonly string[], n: number): Patch {
  const id = ids[n % ids.length];
  switch (n % 4) {
    case 0:
      return {upstreams: {[id]: null}};
    case 1:
      return {upstreams: createFleetPatch([id]).upstreams};
    case 2:
      return {services: createFleetPatch(ids, {slots: 1 + (n % 3)}).services};
    default:
      return {services: {desk: null}};
  }
}

/**
 * Reports whether all nodes are ready. The formal model assumes that at most one
 * process at a time is down, starting or paused.
 */
function canInjectFault(fleet: InterleavedFleet): boolean {
  return fleet.nodes.every(
    ({alive, paused, state}) => alive && !paused && state.startup.ready,
  );
}

function performStep(
  fleet: InterleavedFleet,
  keys: IssuedKey[],
  step: Step,
): void {
  const {n, m} = step;
  const node = fleet.nodes[n % fleet.nodes.length];
  const message = pick(fleet.messages, m);
  const dispatch = pick(fleet.dispatches, m);
  const isUp = node.alive && !node.paused;
  switch (step.action) {
    case 'deliver':
      return message && fleet.deliverMessage(message);
    case 'drop':
      return message && fleet.dropMessage(message);
    case 'reportLostButKeep':
      return message && fleet.reportLostButKeep(message);
    case 'duplicate':
      return message && fleet.duplicateMessage(message);
    case 'advance':
      return fleet.advance(ADVANCES_MS[n % ADVANCES_MS.length]);
    case 'complete':
      return dispatch && fleet.completeDispatch(dispatch);
    case 'execute':
      return dispatch && fleet.execute(dispatch);
    case 'failUpstream':
      return (
        dispatch &&
        fleet.completeDispatch(dispatch, n % 2 === 0 ? 'connect' : 'reset')
      );
    case 'call':
      return isUp ? startCall(fleet, keys, node, m) : undefined;
    case 'resend':
      return isUp ? resend(fleet, keys, node, m) : undefined;
    case 'disconnectCaller': {
      const call = pick([...fleet.calls.values()], m);
      return call && fleet.disconnectCaller(call);
    }
    case 'readSource':
      return isUp
        ? fleet.answerWatch(node, m % (fleet.log.length + 1))
        : undefined;
    case 'publish': {
      const base = Math.max(0, getVersion(fleet) - (m % 5 === 0 ? 1 : 0));
      return fleet.publish(createPatch(fleet.ids, n), base);
    }
    case 'pause':
      node.paused = canInjectFault(fleet);
      return;
    case 'resume':
      node.paused = false;
      return;
    case 'restart':
      return restart(fleet, node);
    case 'drain':
      return canInjectFault(fleet) ? fleet.drain(node) : undefined;
  }
}

function getVersion(fleet: InterleavedFleet): number {
  return Math.max(...fleet.nodes.map(({state}) => state.log.latest.version));
}

function restart(fleet: InterleavedFleet, node: Node): void {
  if (!node.alive) {
    fleet.start(node);
  } else if (canInjectFault(fleet)) {
    fleet.kill(node);
    fleet.start(node);
  }
}

function getTimeoutMs(m: number): number {
  return TIMEOUTS_MS[m % TIMEOUTS_MS.length];
}

function startCall(
  fleet: InterleavedFleet,
  keys: IssuedKey[],
  node: Node,
  m: number,
): void {
  if (m % 3 === 0) {
    const method = m % 2 === 0 ? 'GET' : 'POST';
    return fleet.call(node, method, undefined, getTimeoutMs(m));
  }
  // Only UUIDv7 keys contain the time at which they were created.
  const key = m % 5 === 0 ? `order-${fleet.at}` : createUuidV7Key(fleet.at);
  keys.push({key, createdAt: fleet.at});
  fleet.call(node, 'POST', key, getTimeoutMs(m));
}

function resend(
  fleet: InterleavedFleet,
  keys: readonly IssuedKey[],
  node: Node,
  m: number,
): void {
  const live = keys.filter(
    ({createdAt}) => fleet.at - createdAt < RESEND_WITHIN_MS,
  );
  const issued = pick(live, m);
  if (issued !== undefined) {
    fleet.call(node, 'POST', issued.key, getTimeoutMs(m));
  }
}

/** Checks that without faults, all nodes become ready, converge and answer. */
function checkRecovered(fleet: InterleavedFleet): void {
  fleet.nodes.forEach(node => (node.paused = false));
  // Pending drains end first; the drained nodes are then started again.
  fleet.runWithoutFaults(RECOVERY_MS);
  fleet.nodes.filter(({alive}) => !alive).forEach(node => fleet.start(node));
  fleet.runWithoutFaults(RECOVERY_MS);
  const sequence = fleet.log.length;
  for (const {id, state, alive, draining} of fleet.nodes) {
    if (alive && !draining) {
      const {active} = state.log;
      expect(state.startup.ready, `${id} is ready`).to.equal(true);
      expect(active.sequence, `${id} has caught up`).to.equal(sequence);
    }
  }
  for (const {
    callId,
    entry,
    entryGeneration,
    answers,
  } of fleet.calls.values()) {
    if (entry.alive && entry.generation === entryGeneration) {
      expect(answers, `answers of ${callId}`).to.equal(1);
    }
  }
}

describe('differential: interleavings', () => {
  it('upholds the invariants after each step', () => {
    const property = fc.property(
      fc.integer({min: 3, max: 9}),
      steps,
      (count, list) => {
        const ids = Array.from({length: count}, (_, i) => `desk-${i + 1}`);
        const fleet = new InterleavedFleet(ids);
        fleet.startAll();
        const keys: IssuedKey[] = [];
        for (const step of list) {
          performStep(fleet, keys, step);
        }
        checkRecovered(fleet);
      },
    );
    fc.assert(property, getFuzzOptions('interleavings', 40));
  }).timeout(0);
});
