import {createRefusal} from '../src/core/refusals.js';
import {CoreFixture, createServicePatch} from './support/core_fixture.js';
import {expect} from './support/chai_setup.js';

const UPSTREAMS = ['desk-1', 'desk-2', 'desk-3'];

function createEntryFixture(): CoreFixture {
  const core = new CoreFixture('desk-9');
  core.adopt(createServicePatch(UPSTREAMS));
  return core;
}

describe('entry', () => {
  it('sends nothing more to an upstream that refused because it leaves', () => {
    const core = createEntryFixture();
    const targets: string[] = [];
    for (let i = 0; i < 60; i += 1) {
      let effects = core.call(`c${i}`);
      for (;;) {
        const sent = effects.find(effect => effect.kind === 'sendAttempt');
        if (sent?.kind !== 'sendAttempt') {
          break;
        }
        const {attemptId, upstreamId} = sent.attempt;
        targets.push(upstreamId);
        const leaving = upstreamId === 'desk-1';
        effects = core.reduce({
          kind: 'attemptAnswered',
          attemptId,
          result: leaving
            ? createRefusal('upstream_leaving', 100)
            : {
                kind: 'answer',
                status: 200,
                headers: {},
                body: new Uint8Array(),
              },
          load: {running: 0, queued: 0, slots: 2, leaving},
        });
        core.at += 20;
      }
    }
    const toLeaving = targets.filter(id => id === 'desk-1').length;
    expect({toLeaving, calls: 60, attempts: targets.length}).toMatchSnapshot();
    expect(toLeaving).to.equal(1);
  });

  it('does not spend the retry budget on upstreams that leave', () => {
    const core = createEntryFixture();
    core.state.entry.budgets.set('desk', 0);
    const [sent] = core.call('c1');
    const attemptId = sent.kind === 'sendAttempt' ? sent.attempt.attemptId : '';
    const effects = core.reduce({
      kind: 'attemptAnswered',
      attemptId,
      result: createRefusal('upstream_leaving', 100),
      load: {running: 0, queued: 0, slots: 2, leaving: true},
    });
    expect(effects.map(({kind}) => kind)).to.deep.equal(['sendAttempt']);
  });
});
