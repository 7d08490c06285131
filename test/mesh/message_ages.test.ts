/** How old a list is that a message took long to bring. */
import {addAge} from '../../src/core/mesh/message_ages.js';
import {LinkMessage} from '../../src/model/mesh.js';
import {expect} from '../support/chai_setup.js';
import {MeshFixture, createInstance} from './mesh_fixture.js';

const RELAY = '10.0.0.2:7000';
const READ_AGO_MS = 20;
const DELAY_MS = 1_000;

const NEWS: Extract<LinkMessage, {kind: 'news'}> = {
  kind: 'news',
  ageMs: READ_AGO_MS,
  fleet: {base: 10, revision: 11, changed: [], removed: []},
  version: 1,
  configRevision: 10,
  configAgeMs: 100,
  versionAgeMs: 5_000,
};

describe('the age of a list', () => {
  // Guards against DRAIN: a proxy that stood still while its reading was answered sent
  // an old list as a new one.
  it('counts from the begin of the reading', () => {
    const proxy = new MeshFixture();
    const instances = [createInstance(1), createInstance(2)];
    proxy.loadFromSource(instances);
    const request = proxy.advance(600).find(({kind}) => kind === 'readSource');
    expect(request).to.not.equal(undefined);
    const startedAt = proxy.at;
    proxy.at += DELAY_MS;
    const effects = proxy.readFleet(instances, 11);
    expect(proxy.state.sourceReads.freshAt).to.equal(startedAt);
    const ages = effects.flatMap(effect =>
      effect.kind === 'sendMessage' && effect.message.kind === 'news'
        ? [effect.message.ageMs]
        : [],
    );
    expect(ages).to.deep.equal([DELAY_MS]);
  });
});

describe('the age of a message', () => {
  // Guards against DRAIN: a relay that stood still made an old list look new, so that
  // its receivers waited a whole interval more before they read it themselves.
  it('includes the time for which the message was on its way', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource([createInstance(1), createInstance(2)]);
    proxy.at += DELAY_MS + READ_AGO_MS;
    const message = addAge(NEWS, DELAY_MS);
    proxy.post({kind: 'messageReceived', from: RELAY, message});
    const {sourceReads, fleet} = proxy.state;
    expect(fleet.revision).to.equal(11);
    expect(proxy.at - sourceReads.freshAt).to.equal(DELAY_MS + READ_AGO_MS);
  });

  it('is added to all ages that the message states', () => {
    const ages = {configAgeMs: 100, versionAgeMs: 5_000};
    expect([
      addAge(NEWS, 7),
      addAge(
        {kind: 'pull', version: 1, revision: 2, ageMs: 3, configAgeMs: 4},
        7,
      ),
      addAge(
        {kind: 'polled', failed: false, version: 1, configRevision: 2, ...ages},
        7,
      ),
      addAge({kind: 'leaving', address: RELAY}, 7),
    ]).toMatchSnapshot();
  });
});
