import {START_MS, getPeerAddress} from '../support/core_fixture.js';
import {expect} from '../support/chai_setup.js';
import {createRemoval, findKey, OwnerFixture} from './owner_fixture.js';

const PAIR = ['desk-1', 'desk-2'];
const ALONE = ['desk-1'];

describe('hand-over on a planned stop', () => {
  it('is made also by a home that the configuration has let go', () => {
    const owner = new OwnerFixture(PAIR);
    owner.publish(createRemoval('desk-1'));
    owner.reduce({kind: 'drainRequested'});
    expect(owner.tick()).to.deep.equal([
      `ask ${getPeerAddress('desk-2')} handOver`,
    ]);
  });

  it('says nothing of keys that an earlier process may have run', () => {
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
