/** Replays the start of a fleet: links are open before the first calls come. */
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  createConfig,
  createHello,
  createInstance,
} from './mesh_fixture.js';

const FLEET = Array.from({length: 40}, (_, n) =>
  createInstance(n + 1, {zone: n % 2 === 0 ? 'north' : 'south'}),
);

/** Advances by one interval and returns the links that were opened. */
function advance(proxy: MeshFixture): string[] {
  proxy.drainEffects();
  proxy.advance(500);
  return proxy
    .drainEffects()
    .filter(line => line.startsWith('openLink'))
    .map(line => line.split(' ')[1]);
}

describe('links that are opened in advance', () => {
  it('reach the whole fleet in small steps, each proxy once', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    const opened: string[] = [];
    for (let interval = 0; interval < 8; interval += 1) {
      const links = advance(proxy);
      expect(links.length).to.be.at.most(11);
      opened.push(...links);
    }
    expect(new Set(opened).size).to.equal(FLEET.length - 1);
  });

  it('wait until the configuration is known and no call is in progress', () => {
    const proxy = new MeshFixture();
    proxy.readFleet(FLEET, 10);
    const neighbours = advance(proxy);
    expect(neighbours.length).to.equal(3);
    proxy.readConfig(createConfig(), 10);
    proxy.call('c');
    expect(advance(proxy)).to.deep.equal(neighbours);
    proxy.answer('c.1');
    expect(advance(proxy).length).to.be.above(3);
  });

  it('leave out proxies that have opened one, and are not repeated', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    for (let host = 2; host <= FLEET.length; host += 1) {
      const address = `10.0.0.${host}:7000`;
      const message = createHello({address});
      proxy.post({kind: 'messageReceived', from: address, message});
    }
    expect(advance(proxy)).to.deep.equal([]);
    const address = '10.0.0.20:7000';
    proxy.post({kind: 'linkClosed', address});
    for (let interval = 0; interval < 8; interval += 1) {
      expect(advance(proxy)).not.to.include(address);
    }
  });
});
