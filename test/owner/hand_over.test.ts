import {
  createSubmission,
  getPeerAddress,
  START_MS,
} from '../support/core_fixture.js';
import {expect} from '../support/chai_setup.js';
import {createRemoval, findKey, OwnerFixture} from './owner_fixture.js';

const PAIR = ['desk-1', 'desk-2'];
const ALONE = ['desk-1'];

describe('hand-over on a graceful shutdown', () => {
  it('is also made by a holder that the configuration has removed', () => {
    const owner = new OwnerFixture(PAIR);
    owner.publish(createRemoval('desk-1'));
    owner.reduce({kind: 'drainRequested'});
    expect(owner.tick()).to.deep.equal([
      `ask ${getPeerAddress('desk-2')} handOver`,
    ]);
  });

  it('refuses new keys once the removal of its upstream is known', () => {
    const owner = new OwnerFixture(PAIR);
    owner.reduce({
      kind: 'sourceAnswered',
      head: 2,
      submissions: [createSubmission(2, 1, createRemoval('desk-1'))],
    });
    const key = findKey([[PAIR, 'desk-1']]);
    expect(owner.attempt('a', {key})).to.deep.equal([
      'a: wrong_home (unknown, 503)',
    ]);
    expect(owner.close(key, 'b', 'moved')).to.deep.equal(['verdict never-ran']);
  });

  it('does not cover keys that an earlier process may have run', () => {
    const owner = new OwnerFixture(PAIR);
    const key = findKey([[PAIR, 'desk-2']]);
    owner.reduce({
      kind: 'peerAsked',
      requestId: 'h',
      request: {
        kind: 'handOver',
        service: 'desk',
        fromId: 'desk-2',
        incarnation: owner.at - 10_000,
        heirs: ALONE,
        records: [],
      },
    });
    owner.publish(createRemoval('desk-2'));
    expect(owner.at).to.be.greaterThan(START_MS);
    expect(owner.attempt('a', {key})).to.deep.equal([
      `ask ${getPeerAddress('desk-2')} closeKey`,
    ]);
  });
});
