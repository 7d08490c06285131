/** Reading the store: pages, changes, lost history, and each way of failing. */
import {Result} from 'neverthrow';
import {StoreClient} from '../../platform/store_client.js';
import {SourceAnswer} from '../../src/core/mesh/mesh_types.js';
import {SourceError} from '../../src/mesh/fleet_source.js';
import {expect} from '../support/chai_setup.js';
import {StoreStandin, createDocument, createEntry} from './store_standin.js';

function show(result: Result<SourceAnswer, SourceError>): string {
  return result.match(
    answer => {
      switch (answer.kind) {
        case 'compacted':
          return 'compacted';
        case 'listing':
          return `listing ${answer.instances.map(({id}) => id).join()} config ${answer.config?.version}`;
        case 'changes':
          return `changed ${answer.changed.map(({id, state}) => `${id}:${state}`).join()} removed ${answer.removed.join()} config ${answer.config?.version}`;
      }
    },
    ({kind}) => `failed ${kind}`,
  );
}

describe('store client', () => {
  const store = new StoreStandin();
  const rejected: string[] = [];
  let client: StoreClient;

  before(async () => {
    const address = await store.start();
    client = new StoreClient(address, kind => rejected.push(kind));
  });

  after(async () => {
    await client.close();
    await store.stop();
  });

  beforeEach(() => {
    store.mode = 'answers';
    rejected.length = 0;
  });

  it('lists all pages, without what cannot be read', async () => {
    for (let n = 1; n <= 7; n += 1) {
      store.put(`servers/i-${n}`, createEntry(`10.0.0.${n}:80`));
    }
    store.put('servers/i-3', 'no entry');
    const listing = await client.read({kind: 'list', withConfig: true});
    expect(show(listing)).to.equal(
      'listing i-1,i-2,i-4,i-5,i-6,i-7 config undefined',
    );
    expect(rejected).to.deep.equal(['instance_entry']);
  });

  it('tells the last state of each change', async () => {
    const after = store.put('other/key', 'x');
    store.put('op/config', createDocument(4));
    store.put('servers/i-1', createEntry('10.0.0.1:80', {state: 'draining'}));
    store.put('servers/i-2', 'spoilt');
    store.remove('servers/i-4');
    store.remove('servers/i-5');
    store.put('servers/i-5', createEntry('10.0.0.5:80'));
    const changes = await client.read({kind: 'changes', after});
    expect(show(changes)).to.equal(
      'changed i-1:draining,i-5:ready removed i-2,i-4 config 4',
    );
  });

  it('keeps the last good configuration of several', async () => {
    const after = store.put('op/config', createDocument(5));
    store.put('op/config', createDocument(6));
    store.put('op/config', createDocument(7, {routes: 'none'}));
    const changes = await client.read({kind: 'changes', after});
    expect(show(changes)).to.equal('changed  removed  config 6');
    expect(rejected).to.deep.equal(['config_document']);
  });

  it('says that the history is gone', async () => {
    store.put('other/key', 'y');
    store.compact();
    const changes = await client.read({kind: 'changes', after: 101});
    expect(show(changes)).to.equal('compacted');
  });

  for (const [mode, expected] of [
    ['busy', 'failed refused'],
    ['many', 'failed refused'],
    ['garbled', 'failed unreadable'],
    ['silent', 'failed unreachable'],
  ] as const) {
    it(`reports a store that is ${mode}`, async () => {
      store.mode = mode;
      const listing = await client.read({kind: 'list', withConfig: false});
      expect(show(listing)).to.equal(expected);
    });
  }
});
