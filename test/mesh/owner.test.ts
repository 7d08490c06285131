/** The owner role: which attempts are dispatched and which are refused. */
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  createAttempt,
  createHello,
  createInstance,
} from './mesh_fixture.js';

const DEFAULT_FACTS = {notRun: false, otherInstance: false};

function createOwner(slots = 1): MeshFixture {
  const owner = new MeshFixture();
  owner.loadFromSource([createInstance(1, {slots}), createInstance(2)]);
  owner.drainEffects();
  return owner;
}

function deliverAttempt(
  owner: MeshFixture,
  attemptId: string,
  overrides = {},
): void {
  const attempt = createAttempt({attemptId, ...overrides});
  owner.post({kind: 'attemptArrived', attempt});
}

/** Lets the upstream crash in two runs of a request. */
function crashTwice(owner: MeshFixture, fingerprint: string): void {
  for (const attemptId of ['a', 'b']) {
    deliverAttempt(owner, attemptId, {fingerprint});
    owner.post({kind: 'upstreamFailed', attemptId, failure: 'reset'});
    owner.post({kind: 'connectProbed', accepted: false});
    owner.post({kind: 'connectProbed', accepted: true});
  }
}

function answerAttempt(
  owner: MeshFixture,
  attemptId: string,
  status = 200,
): void {
  const body = new Uint8Array(0);
  const answer = {kind: 'answer', status, headers: {}, body} as const;
  owner.post({
    kind: 'upstreamAnswered',
    attemptId,
    answer,
    facts: DEFAULT_FACTS,
  });
}

describe('mesh owner', () => {
  it('dispatches one attempt per slot, the most urgent first', () => {
    const owner = createOwner();
    deliverAttempt(owner, 'read-1');
    deliverAttempt(owner, 'read-2');
    deliverAttempt(owner, 'charge', {priority: 0});
    answerAttempt(owner, 'read-1');
    answerAttempt(owner, 'charge');
    expect(owner.drainEffects()).to.deep.equal([
      'dispatch read-1',
      'finishAttempt read-1 200 reached=true',
      'dispatch charge',
      'finishAttempt charge 200 reached=true',
      'dispatch read-2',
    ]);
  });

  it('refuses an attempt for whose request there is no memory', () => {
    const owner = createOwner();
    const attempt = createAttempt({attemptId: 'a'});
    owner.post({kind: 'attemptArrived', attempt, unreceived: 'memory_full'});
    expect(owner.drainEffects()).to.deep.equal([
      'finishAttempt a memory_full reached=false',
    ]);
  });

  it('dispatches nested attempts before others of the same priority', () => {
    const owner = createOwner();
    deliverAttempt(owner, 'runs');
    deliverAttempt(owner, 'new');
    const nested = {nested: true, aimMs: 1_200};
    deliverAttempt(owner, 'nested', nested);
    answerAttempt(owner, 'runs');
    expect(owner.drainEffects()).to.deep.equal([
      'dispatch runs',
      'finishAttempt runs 200 reached=true',
      'dispatch nested',
    ]);
  });

  it('refuses at once an attempt that would wait and miss its aim', () => {
    const owner = createOwner();
    deliverAttempt(owner, 'a');
    deliverAttempt(owner, 'b');
    deliverAttempt(owner, 'c');
    expect(owner.drainEffects()).to.deep.equal([
      'dispatch a',
      'finishAttempt c queue_full reached=false',
    ]);
  });

  it('refuses new and waiting attempts as soon as the upstream drains', () => {
    const owner = createOwner();
    deliverAttempt(owner, 'runs');
    deliverAttempt(owner, 'waits');
    owner.drainEffects();
    const draining = createInstance(1, {state: 'draining', heartbeat: 2});
    owner.readFleet([draining, createInstance(2)], 11);
    owner.advance(25);
    deliverAttempt(owner, 'late');
    const lines = owner
      .drainEffects()
      .filter(line => line.startsWith('finish'));
    expect(lines).to.deep.equal([
      'finishAttempt waits upstream_leaving reached=false',
      'finishAttempt late upstream_leaving reached=false',
    ]);
  });

  it('dispatches nothing to an upstream that is no longer registered', () => {
    const owner = createOwner();
    deliverAttempt(owner, 'runs');
    deliverAttempt(owner, 'waits');
    owner.readFleet([createInstance(2)], 11);
    owner.advance(25);
    deliverAttempt(owner, 'new');
    answerAttempt(owner, 'runs');
    const decisions = owner
      .drainEffects()
      .filter(line => /^(dispatch|finishAttempt)/.test(line));
    expect(decisions).to.deep.equal([
      'dispatch runs',
      'finishAttempt waits upstream_leaving reached=false',
      'finishAttempt new upstream_leaving reached=false',
      'finishAttempt runs 200 reached=true',
    ]);
    owner.readFleet([createInstance(1), createInstance(2)], 12);
    deliverAttempt(owner, 'again');
    expect(owner.drainEffects()).to.include('dispatch again');
  });

  it('refuses an attempt addressed to another instance', () => {
    const owner = createOwner();
    deliverAttempt(owner, 'old', {instanceId: 'i-0'});
    expect(owner.drainEffects()).to.deep.equal([
      'finishAttempt old wrong_home reached=false',
    ]);
  });

  it('refuses an attempt that the upstream did not run', () => {
    const owner = createOwner();
    deliverAttempt(owner, 'a');
    const body = new Uint8Array(0);
    owner.post({
      kind: 'upstreamAnswered',
      attemptId: 'a',
      answer: {kind: 'answer', status: 503, headers: {}, body},
      facts: {...DEFAULT_FACTS, notRun: true},
    });
    expect(owner.drainEffects()).to.include(
      'finishAttempt a queue_full reached=true',
    );
  });

  it('defers the outcome of a reset run until the upstream is probed', () => {
    const owner = createOwner();
    deliverAttempt(owner, 'a');
    owner.drainEffects();
    owner.post({kind: 'upstreamFailed', attemptId: 'a', failure: 'reset'});
    expect(owner.drainEffects()).to.deep.equal(['probeConnect']);
    owner.post({kind: 'connectProbed', accepted: true});
    expect(owner.drainEffects()).to.deep.equal([
      'finishAttempt a attempt_lost reached=true',
    ]);
    expect(owner.state.suspects.byFingerprint.size).to.equal(0);
  });

  // Guards against BUDGET: a restarted proxy lets a quarantined request crash upstreams.
  it('sends the requests of crashes to proxies whose links open later', () => {
    const owner = createOwner();
    crashTwice(owner, 'poison');
    const restarted = createOwner();
    const from = '10.0.0.9:7000';
    const hello = createHello({address: from, incarnation: 2});
    const effects = owner.post({kind: 'messageReceived', from, message: hello});
    for (const effect of effects) {
      if (effect.kind === 'sendMessage' && effect.to === from) {
        const {message} = effect;
        restarted.post({kind: 'messageReceived', from, message});
      }
    }
    restarted.drainEffects();
    deliverAttempt(restarted, 'c', {fingerprint: 'poison'});
    expect(restarted.drainEffects()).to.deep.equal([
      'finishAttempt c crash_suspected reached=false',
    ]);
  });

  it('refuses only the request that was running at two crashes', () => {
    const owner = createOwner();
    crashTwice(owner, 'poison');
    owner.drainEffects();
    deliverAttempt(owner, 'c', {fingerprint: 'poison'});
    deliverAttempt(owner, 'd', {fingerprint: 'other'});
    expect(owner.drainEffects()).to.deep.equal([
      'finishAttempt c crash_suspected reached=false',
      'dispatch d',
    ]);
  });

  it('works while callers are still routed here, then notifies peers', () => {
    const owner = createOwner();
    owner.post({
      kind: 'messageReceived',
      from: '10.0.0.2:7000',
      message: createHello(),
    });
    owner.drainEffects();
    owner.post({kind: 'stopRequested'});
    owner.advance(1_700);
    deliverAttempt(owner, 'early');
    const before = owner.drainEffects();
    expect(before).to.include('dispatch early');
    expect(before).not.to.include('sendMessage leaving to 10.0.0.2:7000');
    owner.advance(200);
    const after = owner.drainEffects();
    expect(after).to.include('sendMessage leaving to 10.0.0.2:7000');
  });

  it('refuses work that may outlast its graceful shutdown', () => {
    const owner = createOwner();
    owner.post({kind: 'stopRequested'});
    owner.advance(5_000);
    owner.drainEffects();
    deliverAttempt(owner, 'long', {
      routeAimMs: 1_200,
      aimMs: 1_200,
      timeoutMs: 4_000,
    });
    owner.call('c-1');
    const lines = owner.drainEffects().filter(line => !line.includes('Source'));
    expect(lines).to.deep.equal([
      'finishAttempt long proxy_stopping reached=false',
      'answerCall c-1 proxy_stopping not-run',
    ]);
  });

  it('uses the later of two registrations once the earlier one expires', () => {
    const owner = createOwner();
    const later = createInstance(1, {id: 'i-9', incarnation: 5});
    owner.readFleet([createInstance(1), later, createInstance(2)], 11);
    owner.advance(600);
    owner.readFleet([later, createInstance(2)], 12);
    expect(owner.state.health.registeredId).to.equal('i-9');
  });

  it('frees the slot of a run whose answer seems lost', () => {
    const owner = createOwner();
    deliverAttempt(owner, 'lost', {timeoutMs: 60_000});
    owner.advance(2_000);
    deliverAttempt(owner, 'next');
    expect(
      owner.drainEffects().filter(l => l.startsWith('dispatch')),
    ).to.deep.equal(['dispatch lost', 'dispatch next']);
  });
});
