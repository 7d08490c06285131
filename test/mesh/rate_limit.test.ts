/** Limits and departures that upstreams report in their answers. */
import {getOrCreateLoad} from '../../src/core/entry/load_view.js';
import {UpstreamReport} from '../../src/core/mesh/mesh_types.js';
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  createAttempt,
  createInstance,
  createRemoteEntry,
} from './mesh_fixture.js';

const NO_REPORT: UpstreamReport = {leaving: false};
const SLOTS = 6;

function createOwner(): MeshFixture {
  const owner = new MeshFixture();
  owner.loadFromSource([createInstance(1, {slots: SLOTS}), createInstance(2)]);
  owner.drainEffects();
  return owner;
}

/** Delivers attempts and returns the decisions on them. */
function deliver(
  owner: MeshFixture,
  ids: readonly string[],
  overrides = {},
): string[] {
  for (const attemptId of ids) {
    const attempt = createAttempt({attemptId, ...overrides});
    owner.post({kind: 'attemptArrived', attempt});
  }
  return owner.drainEffects().filter(isDecision);
}

function isDecision(effect: string): boolean {
  return /^(dispatch|finishAttempt)/.test(effect);
}

/** Delivers the upstream's answer to a running attempt. */
function answer(
  owner: MeshFixture,
  attemptId: string,
  report: UpstreamReport = NO_REPORT,
  status = 200,
): string[] {
  const body = new Uint8Array(0);
  owner.post({
    kind: 'upstreamAnswered',
    attemptId,
    answer: {kind: 'answer', status, headers: {}, body},
    facts: {notRun: status === 503, otherInstance: false, report},
  });
  return owner.drainEffects();
}

/** Runs one attempt whose answer carries a report. */
function report(owner: MeshFixture, upstreamReport: UpstreamReport): void {
  const id = `report-${owner.at}`;
  deliver(owner, [id]);
  answer(owner, id, upstreamReport);
}

function countDispatches(effects: readonly string[]): number {
  return effects.filter(effect => effect.startsWith('dispatch')).length;
}

/** Offers attempts for a time and answers each at once; counts those started. */
function countStarts(
  owner: MeshFixture,
  ms: number,
  upstreamReport: UpstreamReport,
  overrides = {},
): number {
  const endAt = owner.at + ms;
  let started = 0;
  for (let n = 0; owner.at < endAt; n += 1) {
    owner.advance(25);
    const id = `a-${owner.at}-${n}`;
    const effects = [
      ...owner.drainEffects(),
      ...deliver(owner, [id], overrides),
    ];
    started += countDispatches(effects);
    for (const attemptId of [...owner.state.work.running.keys()]) {
      started += countDispatches(answer(owner, attemptId, upstreamReport));
    }
  }
  return started;
}

describe('rate limit of an upstream', () => {
  const limited = {limitPerSecond: 4, leaving: false};

  for (const [name, overrides] of Object.entries({
    reads: {},
    charges: {idempotent: false, priority: 0},
    'nested calls': {nested: true, aimMs: 1_200},
  })) {
    it(`is kept for ${name}`, () => {
      const owner = createOwner();
      report(owner, limited);
      expect(countStarts(owner, 10_000, limited, overrides)).to.be.within(
        38,
        42,
      );
    });
  }

  it('follows changes, and ends with an answer that names none', () => {
    const owner = createOwner();
    report(owner, limited);
    countStarts(owner, 1_000, limited);
    const lower = {limitPerSecond: 1, leaving: false};
    expect(countStarts(owner, 10_000, lower)).to.be.within(9, 13);
    expect(countStarts(owner, 3_000, NO_REPORT)).to.be.above(80);
  });

  it('still asks an upstream that has named zero, so that it can end the limit', () => {
    const owner = createOwner();
    const zero = {limitPerSecond: 0, leaving: false};
    report(owner, zero);
    expect(countStarts(owner, 20_000, zero)).to.be.within(4, 6);
  });

  it('is not ended by errors, by rejections, or by an unreadable value', () => {
    const owner = createOwner();
    report(owner, limited);
    owner.advance(2_000);
    deliver(owner, ['error']);
    answer(owner, 'error', NO_REPORT, 500);
    owner.advance(2_000);
    deliver(owner, ['rejected']);
    answer(owner, 'rejected', NO_REPORT, 503);
    owner.advance(2_000);
    report(owner, {limitPerSecond: 'unreadable', leaving: false});
    expect(owner.state.work.limit.perSecond).to.equal(4);
  });

  it('is learnt from the headers of an answer that breaks off', () => {
    const owner = createOwner();
    deliver(owner, ['cut']);
    owner.post({
      kind: 'upstreamFailed',
      attemptId: 'cut',
      failure: 'truncated',
      report: limited,
    });
    expect(owner.state.work.limit.perSecond).to.equal(4);
  });

  it('refuses at once what it cannot serve in time, also what waits already', () => {
    const owner = createOwner();
    const ids = Array.from({length: SLOTS + 3}, (_, n) => `a-${n}`);
    deliver(owner, ids);
    expect(owner.state.work.queue.length).to.equal(3);
    const lowest = {limitPerSecond: 0.5, leaving: false};
    expect(answer(owner, 'a-0', lowest)).to.deep.equal([
      'finishAttempt a-0 200 reached=true',
      'finishAttempt a-7 rate_limited reached=false',
      'finishAttempt a-8 rate_limited reached=false',
      'dispatch a-6',
    ]);
    expect(deliver(owner, ['late'])).to.deep.equal([
      'finishAttempt late rate_limited reached=false',
    ]);
    expect(owner.state.work.queue).to.deep.equal([]);
  });

  it('advises to return when a request can start again', () => {
    const owner = createOwner();
    const slow = {limitPerSecond: 1, leaving: false};
    report(owner, slow);
    countStarts(owner, 3_000, slow);
    const attempt = createAttempt({attemptId: 'late'});
    deliver(owner, ['first']);
    const effects = owner.post({kind: 'attemptArrived', attempt});
    const finish = effects.find(effect => effect.kind === 'finishAttempt');
    const result = finish?.outcome.result;
    expect(result?.kind === 'refusal' && result.reason).to.equal(
      'rate_limited',
    );
    expect(finish?.outcome.load?.limitPerSecond).to.equal(1);
    const delayMs = finish?.outcome.load?.limitDelayMs ?? 0;
    // One request waits for the next token already.
    expect(delayMs).to.be.within(1_000, 2_000);
  });

  it('is kept by an owner that has restarted, as its entries know it', () => {
    const owner = createOwner();
    const hint = {limitPerSecond: 1};
    expect(deliver(owner, ['a', 'b'], hint)).to.deep.equal([
      'dispatch a',
      'finishAttempt b rate_limited reached=false',
    ]);
    answer(owner, 'a');
    expect(deliver(owner, ['c', 'd'], hint)).to.deep.equal([
      'dispatch c',
      'dispatch d',
    ]);
  });

  it('ends with the process of the upstream', () => {
    const owner = createOwner();
    report(owner, limited);
    const restarted = createInstance(1, {slots: SLOTS, incarnation: 2});
    owner.readFleet([restarted, createInstance(2)], 11);
    expect(owner.state.work.limit.perSecond).to.equal(undefined);
    report(owner, limited);
    deliver(owner, ['refused']);
    owner.advance(2_000);
    deliver(owner, ['down']);
    const failure = 'connect';
    owner.post({kind: 'upstreamFailed', attemptId: 'refused', failure});
    expect(owner.state.work.limit.perSecond).to.equal(undefined);
  });

  it('makes entries choose other upstreams while it holds requests back', () => {
    const entry = createRemoteEntry();
    const load = {
      running: 0,
      queued: 0,
      slots: SLOTS,
      leaving: false,
      limitPerSecond: 1,
      limitDelayMs: 900,
    };
    entry.state.loads.get('i-2')!.report = load;
    entry.state.loads.get('i-2')!.reportedAt = entry.at;
    const chosen = new Set<string>();
    for (let n = 0; n < 4; n += 1) {
      entry.call(`c-${n}`);
      for (const effect of entry.drainEffects()) {
        chosen.add(effect.split(' to ')[1]);
      }
    }
    expect([...chosen]).to.deep.equal(['i-3']);
    entry.advance(1_000);
    entry.drainEffects();
    const later = Array.from({length: 40}, (_, n) => {
      entry.call(`d-${n}`);
      return entry.drainEffects().join();
    });
    expect(later.join()).to.contain('to i-2');
  });
});

describe('rate limits of a whole service', () => {
  it('make an entry refuse at once what no upstream can take in time', () => {
    const entry = createRemoteEntry();
    for (const id of ['i-2', 'i-3']) {
      const load = getOrCreateLoad(entry.state.loads, id);
      load.reportedAt = entry.at;
      load.report = {
        running: 0,
        queued: 0,
        slots: SLOTS,
        leaving: false,
        limitPerSecond: 0.5,
        limitDelayMs: id === 'i-2' ? 1_800 : 1_600,
      };
    }
    const [answered] = entry
      .call('a', '/read/1', 1_000)
      .filter(effect => effect.kind === 'answerCall');
    const {result} = answered;
    expect(result.kind === 'refusal' && result.reason).to.equal('rate_limited');
    const retryAfterMs = result.kind === 'refusal' ? result.retryAfterMs : 0;
    expect(retryAfterMs).to.be.within(1_600, 2_400);
    entry.advance(1_000);
    entry.drainEffects();
    entry.call('b', '/read/1', 1_000);
    expect(entry.drainEffects()).to.deep.equal(['sendAttempt b.1 to i-3']);
  });
});

describe('a rejection by the upstream', () => {
  it('tells callers to return when the upstream says', () => {
    const owner = createOwner();
    deliver(owner, ['a']);
    const body = new Uint8Array(0);
    const effects = owner.post({
      kind: 'upstreamAnswered',
      attemptId: 'a',
      answer: {kind: 'answer', status: 503, headers: {}, body},
      facts: {notRun: true, otherInstance: false, retryAfterMs: 700},
    });
    const finish = effects.find(effect => effect.kind === 'finishAttempt');
    const result = finish?.outcome.result;
    expect(result?.kind === 'refusal' && result.retryAfterMs).to.equal(700);
  });
});

describe('an upstream that reports that it is leaving', () => {
  const leaving = {leaving: true};

  it('gets nothing more from its owner, also if registered as ready', () => {
    const owner = createOwner();
    report(owner, leaving);
    owner.readFleet([createInstance(1, {heartbeat: 5}), createInstance(2)], 12);
    expect(deliver(owner, ['a'])).to.deep.equal([
      'finishAttempt a upstream_leaving reached=false',
    ]);
  });

  it('is chosen by no entry that was told, until it starts anew', () => {
    const entry = createRemoteEntry();
    entry.call('a');
    const [sent] = entry.drainEffects();
    const id = sent.split(' to ')[1];
    const body = new Uint8Array(0);
    entry.post({
      kind: 'attemptEnded',
      attemptId: sent.split(' ')[1],
      outcome: {
        result: {kind: 'answer', status: 200, headers: {}, body},
        reachedUpstream: true,
        load: {
          running: 0,
          queued: 0,
          slots: 2,
          leaving: true,
          upstreamLeaving: true,
        },
      },
    });
    const host = Number(id.slice(2));
    const other = createInstance(host === 2 ? 3 : 2);
    entry.drainEffects();
    // Removed, and listed again by a copy of the source: still leaving.
    entry.readFleet([other], 11);
    entry.readFleet([createInstance(host, {heartbeat: 9}), other], 12);
    entry.advance(10_000);
    entry.drainEffects();
    for (let n = 0; n < 20; n += 1) {
      entry.call(`b-${n}`);
    }
    expect(entry.drainEffects().join()).not.to.contain(`to ${id}`);
    // The only one left is not chosen either.
    entry.readFleet([createInstance(host, {heartbeat: 10})], 13);
    entry.advance(2_500);
    entry.call('c');
    expect(entry.drainEffects().at(-1)).to.equal(
      'answerCall c no_upstream not-run',
    );
    entry.readFleet([createInstance(host, {incarnation: 2})], 14);
    entry.call('d');
    expect(entry.drainEffects().at(-1)).to.equal(`sendAttempt d.1 to ${id}`);
  });
});
