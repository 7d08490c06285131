import {createRefusal, Refusal} from '../../src/core/refusals.js';
import {Answer, Effect} from '../../src/core/types.js';
import {CoreFixture, createServicePatch} from '../support/core_fixture.js';
import {expect} from '../support/chai_setup.js';

const UPSTREAMS = ['desk-1', 'desk-2', 'desk-3'];
const LOAD = {running: 0, queued: 0, slots: 2, leaving: false};
const CALLS = 200;
const ANSWER: Answer = {
  kind: 'answer',
  status: 200,
  headers: {},
  body: new Uint8Array(),
};

interface CallCounts {
  readonly attempts: Record<string, number>;
  refused: number;
}

/** Runs calls one after another; `refuse` decides the result of attempts. */
function runCalls(
  core: CoreFixture,
  refuse: (upstreamId: string) => Refusal | undefined,
  calls = CALLS,
): CallCounts {
  const counts: CallCounts = {attempts: {}, refused: 0};
  for (let n = 0; n < calls; n += 1) {
    let effects: readonly Effect[] = core.call(`c${n}`);
    for (;;) {
      const sent = effects.find(effect => effect.kind === 'sendAttempt');
      if (sent === undefined) {
        break;
      }
      const {attemptId, upstreamId} = sent.attempt;
      counts.attempts[upstreamId] = (counts.attempts[upstreamId] ?? 0) + 1;
      const result = refuse(upstreamId) ?? ANSWER;
      effects = core.reduce({
        kind: 'attemptAnswered',
        attemptId,
        result,
        load: LOAD,
      });
    }
    const answer = effects.find(effect => effect.kind === 'answerCall');
    counts.refused += answer?.result.kind === 'refusal' ? 1 : 0;
    core.at += 1;
  }
  return counts;
}

describe('entry and failing upstreams', () => {
  let core: CoreFixture;

  beforeEach(() => {
    core = new CoreFixture('desk-9');
    core.adopt(createServicePatch(UPSTREAMS));
  });

  const down = (...ids: string[]) => {
    return (id: string) =>
      ids.includes(id) ? createRefusal('upstream_down', 500) : undefined;
  };

  it('avoids an upstream that its owner reports as down', () => {
    const {attempts, refused} = runCalls(core, down('desk-1'));
    expect(attempts['desk-1']).to.equal(1);
    expect(refused).to.equal(0);
  });

  it('uses the last upstream when all others are down', () => {
    const {attempts, refused} = runCalls(core, down('desk-1', 'desk-2'));
    expect([attempts['desk-1'], attempts['desk-2']]).to.deep.equal([1, 1]);
    expect(refused).to.equal(0);
  });

  it('does not retry a call after crashes of two upstreams that ran it', () => {
    const lost = createRefusal('attempt_lost');
    const {attempts, refused} = runCalls(core, () => lost, 1);
    expect(Object.values(attempts)).to.deep.equal([1, 1]);
    expect(refused).to.equal(1);
  });

  it('spends no budget on crashes while another upstream is healthy', () => {
    core.state.entry.budgets.set('desk', 0);
    const refuse = (id: string) =>
      id === 'desk-1' ? createRefusal('attempt_lost') : down('desk-2')(id);
    const {attempts, refused} = runCalls(core, refuse, 9);
    expect(attempts['desk-1']).to.equal(1);
    expect(attempts['desk-2']).to.equal(1);
    expect(refused).to.equal(0);
  });

  it('spends the budget if no upstream is healthy', () => {
    core.state.entry.budgets.set('desk', 0);
    const {attempts} = runCalls(core, down(...UPSTREAMS), 30);
    const sent = Object.values(attempts).reduce((sum, n) => sum + n, 0);
    expect(sent).to.be.at.most(30 + 30 * 0.1 + 2);
  });

  it('sends attempts again after all upstreams were down', () => {
    runCalls(core, down(...UPSTREAMS));
    const {refused} = runCalls(core, down());
    expect(refused).to.equal(0);
  });

  it('counts failures of concurrent attempts as one', () => {
    core.state.entry.budgets.set('desk', 0);
    const attemptIds = Array.from({length: 9}, (_, n) => {
      const [sent] = core.call(`c${n}`, {retriedByOuter: true});
      return sent.kind === 'sendAttempt' ? sent.attempt.attemptId : '';
    });
    const refusal = createRefusal('upstream_down', 500);
    for (const attemptId of attemptIds) {
      core.reduce({
        kind: 'attemptAnswered',
        attemptId,
        result: refusal,
        load: LOAD,
      });
    }
    core.at += 501;
    const {attempts} = runCalls(core, down());
    expect(Object.keys(attempts).sort()).to.deep.equal(UPSTREAMS);
  });
});
