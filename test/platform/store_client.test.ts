/** Store client: paging, watching, compacted history, and failures. */
import {Result} from 'neverthrow';
import {StoreClient} from '../../platform/store_client.js';
import {SourceAnswer} from '../../src/core/mesh/mesh_types.js';
import {createPosition} from '../../src/core/mesh/source_position.js';
import {SourceError} from '../../src/mesh/fleet_source.js';
import {expect} from '../support/chai_setup.js';
import {
  StoreStandin,
  createConfigDocument,
  createInstanceEntry,
} from './store_standin.js';

function formatResult(result: Result<SourceAnswer, SourceError>): string {
  return result.match(
    answer => {
      switch (answer.kind) {
        case 'compacted':
          return 'compacted';
        case 'fleet':
          return `fleet ${answer.instances.map(({id}) => id).join()}`;
        case 'config':
          return `config ${answer.config?.version}`;
      }
    },
    ({kind}) => `failed ${kind}`,
  );
}

describe('store client', () => {
  const store = new StoreStandin();
  const rejected: string[] = [];
  const unknown: string[] = [];
  let client: StoreClient;

  before(async () => {
    const address = await store.start();
    client = new StoreClient(address, {
      onReject: kind => rejected.push(kind),
      onUnknown: kind => unknown.push(kind),
    });
  });

  after(async () => {
    await client.close();
    await store.stop();
  });

  beforeEach(() => {
    store.mode = 'answers';
    store.onPage = () => undefined;
    store.pageLag = 0;
    rejected.length = 0;
  });

  /** Stores a value and returns the position of the change. */
  function putInEra(key: string, value: unknown): number {
    return createPosition(1, store.put(key, value));
  }

  it('reads all pages and skips invalid entries', async () => {
    for (let n = 1; n <= 7; n += 1) {
      store.put(`servers/i-${n}`, createInstanceEntry(`10.0.0.${n}:80`));
    }
    store.put('servers/i-3', 'no entry');
    const fleet = await client.read({kind: 'fleet', mayBeStale: false});
    expect(formatResult(fleet)).to.equal('fleet i-1,i-2,i-4,i-5,i-6,i-7');
    expect(rejected).to.deep.equal(['instance_entry']);
  });

  it('asks for a listing that may be stale on all of its pages', async () => {
    for (let n = 1; n <= 7; n += 1) {
      store.put(`servers/i-${n}`, createInstanceEntry(`10.0.0.${n}:80`));
    }
    for (const mayBeStale of [true, false]) {
      store.listings.length = 0;
      await client.read({kind: 'fleet', mayBeStale});
      expect(store.listings.length).to.be.above(1);
      const expected = mayBeStale ? 'may be stale' : 'fresh';
      expect(new Set(store.listings)).to.deep.equal(new Set([expected]));
    }
  });

  // Guards against proxies that keep an older entry under the latest revision.
  it('names what was written while a list was read', async () => {
    const address = '10.0.0.7:80';
    const entry = (seq: number) => createInstanceEntry(address, {seq});
    const first = putInEra('servers/i-7', entry(2));
    let second = 0;
    store.onPage = () => {
      store.onPage = () => undefined;
      second = putInEra('servers/i-7', entry(3));
    };
    const request = {kind: 'fleet', mayBeStale: false} as const;
    const torn = (await client.read(request))._unsafeUnwrap();
    const later = {ids: ['i-7'], revision: second};
    expect(torn).to.deep.include({revision: first, later});
    const whole = (await client.read(request))._unsafeUnwrap();
    expect(whole).to.deep.include({revision: second, later: undefined});
  });

  // Guards against the same where a page comes from a copy that lies behind.
  it('takes the lowest revision of pages that may be stale', async () => {
    const latest = putInEra('servers/i-7', createInstanceEntry('10.0.0.7:80'));
    store.onPage = () => (store.pageLag = 5);
    const request = {kind: 'fleet', mayBeStale: true} as const;
    const answer = (await client.read(request))._unsafeUnwrap();
    expect(answer).to.include({revision: latest - 5});
    expect(answer).to.deep.nested.include({'later.revision': latest});
  });

  it('returns no configuration before one is stored', async () => {
    const config = await client.read({kind: 'config'});
    expect(formatResult(config)).to.equal('config undefined');
  });

  it('returns the last valid configuration of several', async () => {
    const after = putInEra('op/config', createConfigDocument(5));
    store.put('op/config', createConfigDocument(6));
    store.put('op/config', createConfigDocument(7, {routes: 'none'}));
    store.put('servers/i-1', createInstanceEntry('10.0.0.1:80', {seq: 2}));
    const next = await client.read({kind: 'nextConfig', after, waitMs: 1});
    expect(formatResult(next)).to.equal('config 6');
    expect(rejected).to.deep.equal(['config_document']);
  });

  it('waits after the version found, not after what else was heard', async () => {
    const after = putInEra('op/config', createConfigDocument(6));
    const found = putInEra('op/config', createConfigDocument(7));
    store.put('servers/i-1', createInstanceEntry('10.0.0.1:80', {seq: 3}));
    const next = await client.read({kind: 'nextConfig', after, waitMs: 1});
    expect(next._unsafeUnwrap()).to.include({revision: found});
  });

  it('parses only the newest version, and each version once', async () => {
    const after = putInEra('servers/i-1', createInstanceEntry('10.0.0.1:80'));
    store.put('op/config', createConfigDocument(8, {routes: 'none'}));
    store.put('op/config', createConfigDocument(9));
    const request = {kind: 'nextConfig', after, waitMs: 1} as const;
    const [first, second] = [
      await client.read(request),
      await client.read(request),
    ].map(read => read._unsafeUnwrap());
    expect(rejected).to.deep.equal([]);
    expect(first).to.nested.include({'config.version': 9});
    expect(first.kind === 'config' && first.config).to.equal(
      second.kind === 'config' && second.config,
    );
  });

  it('reports zones that are evacuated and taken back, with each answer', async () => {
    const after = putInEra('op/evacuate/north', {});
    const first = await client.read({kind: 'config'});
    expect(first._unsafeUnwrap()).to.deep.include({
      evacuations: {
        complete: true,
        revision: after,
        changes: [{zone: 'north', revision: after, evacuated: true}],
      },
    });
    store.remove('op/evacuate/north');
    const second = await client.read({kind: 'nextConfig', after, waitMs: 1});
    const revision = after + 1;
    expect(second._unsafeUnwrap()).to.deep.include({
      evacuations: {
        complete: false,
        revision,
        changes: [{zone: 'north', revision, evacuated: false}],
      },
    });
  });

  it('reports a route kind that it does not know, once for each version', async () => {
    const route = {
      host: 'a.example',
      prefix: '/a/',
      kind: 'ledgered',
      timeout: '1s',
      aim: '1s',
      attempts: 2,
      priority: 0,
      service: 'desk',
    };
    store.put('op/config', createConfigDocument(10, {routes: {r: route}}));
    await client.read({kind: 'config'});
    const config = await client.read({kind: 'config'});
    expect(formatResult(config)).to.equal('config 10');
    expect(unknown).to.deep.equal(['route_kind']);
  });

  it('orders answers after a restore behind all earlier ones', async () => {
    const copy = store.createCopy();
    store.put('servers/i-8', createInstanceEntry('10.0.0.8:80'));
    const before = await client.read({kind: 'fleet', mayBeStale: false});
    store.restore(copy);
    // The restore broke the connection.
    await client.read({kind: 'fleet', mayBeStale: false});
    const after = await client.read({kind: 'fleet', mayBeStale: false});
    const config = await client.read({kind: 'config'});
    const [lost, restored, version] = [before, after, config].map(read => {
      const answer = read._unsafeUnwrap();
      return answer.kind === 'compacted' ? 0 : answer.revision;
    });
    expect(restored).to.be.above(lost);
    expect(version).to.be.above(lost);
  });

  it('reports a lost history although the revision was given out again', async () => {
    const copy = store.createCopy();
    const before = await client.read({kind: 'config'});
    const {revision: after} = before._unsafeUnwrap() as {revision: number};
    store.restore(copy);
    store.put('servers/i-8', createInstanceEntry('10.0.0.8:80', {seq: 9}));
    await client.read({kind: 'fleet', mayBeStale: false});
    const next = await client.read({kind: 'nextConfig', after, waitMs: 1});
    expect(formatResult(next)).to.equal('compacted');
  });

  it('reports that the history is compacted', async () => {
    store.compact();
    const next = await client.read({kind: 'nextConfig', after: 1, waitMs: 1});
    expect(formatResult(next)).to.equal('compacted');
  });

  for (const [mode, expected] of [
    ['busy', 'failed refused'],
    ['rate-limited', 'failed refused'],
    ['invalid', 'failed unreadable'],
    ['silent', 'failed unreachable'],
  ] as const) {
    it(`reports a failure of the store: ${mode}`, async () => {
      store.mode = mode;
      const fleet = await client.read({kind: 'fleet', mayBeStale: false});
      expect(formatResult(fleet)).to.equal(expected);
    });
  }
});
