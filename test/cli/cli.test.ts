import {createHistory} from '../../src/cli/history.js';
import {expect} from '../support/chai_setup.js';
import {
  createFakePlatform,
  createFakeProxy,
  FakeServer,
  run,
  SUBMISSIONS,
} from './fakes.js';

const GOOD_PATCH = {routes: {charges: null}};
const FILES = {
  'log.json': SUBMISSIONS,
  'good.json': GOOD_PATCH,
  'stale.json': {base: 1, patch: GOOD_PATCH},
  'unknown-service.json': {routes: {a: {pathPrefix: '/a', service: 'none'}}},
  'broken.json': '{"routes":',
  'gap.json': SUBMISSIONS.filter(({sequence}) => sequence !== 2),
  'state.json': createHistory({
    kind: 'submissions',
    submissions: SUBMISSIONS,
  })._unsafeUnwrap().latest,
};

describe('fireflysill with a file', () => {
  const commands = [
    'check good.json --file log.json',
    'check good.json --file log.json --json',
    'check good.json --file state.json',
    'check good.json --base 1 --file log.json',
    'check stale.json --base 2 --file log.json',
    'check stale.json --file log.json --json',
    'check unknown-service.json --file log.json',
    'check missing.json --file log.json',
    'check broken.json --file log.json',
    'check good.json',
    'check good.json --file gap.json',
    'check good.json --file good.json --json',
    'submissions --file log.json',
    'submissions --file log.json --refused --json',
    'submissions --file log.json --id raced',
    'submissions --file log.json --id absent',
    'versions --file log.json',
    'diff 1 2 --file log.json',
    'diff 1 2 --file log.json --json',
    'diff 2 2 --file log.json',
    'diff 1 2 --file state.json',
    'diff one 2 --file log.json',
    'explain post /charges/7 --file log.json',
    'explain GET /charges --at 1 --file log.json --json',
    'explain DELETE /charges --file log.json',
    'explain GET /chargesheet --at 1 --file log.json',
    'explain GET /charges --at 7 --file log.json',
    'status --proxy nowhere',
    'status',
    'unknown',
  ];
  for (const command of commands) {
    it(command, async () => {
      expect(await run(command.split(' '), FILES)).toMatchSnapshot();
    });
  }

  it('reads an exported log', async () => {
    const platform = createFakePlatform(SUBMISSIONS);
    const source = await platform.start();
    const exported = await run(['export', '--source', source]);
    await platform.stop();
    const versions = ['versions', '--file', 'exported.json'];
    expect(await run(versions, {'exported.json': exported.out})).to.deep.equal(
      await run(['versions', '--file', 'log.json'], FILES),
    );
  });
});

describe('fireflysill with running processes', () => {
  const servers: FakeServer[] = [];

  async function start(server: FakeServer): Promise<string> {
    servers.push(server);
    return server.start();
  }

  afterEach(async () => {
    await Promise.all(servers.splice(0).map(server => server.stop()));
  });

  function proxyStatus(id: string, sequence: number, digest = `d${sequence}`) {
    const version = Math.min(sequence, 2);
    const held = {id, sequence, version, ready: true, leaving: false};
    const heardAt = 1_700_000_097_000;
    const unasked = {...held, id: 'bill-9', sequence: 1, version: 1};
    return {
      ...held,
      zone: 'zilina-a',
      digest: 'of the version in force',
      adoptedAt: 1_700_000_040_000,
      members: [
        {...held, digest, heardAt},
        {...unasked, leaving: true, digest: 'd1', heardAt},
      ],
      outcomes: [],
    };
  }

  it('reads the log of the platform in pages', async () => {
    const source = await start(createFakePlatform(SUBMISSIONS));
    expect(await run(['versions', '--source', source])).toMatchSnapshot();
  });

  it('reports a source whose log ends before its head', async () => {
    const source = await start(
      new FakeServer(() => ({head: 9, submissions: []})),
    );
    expect(await run(['versions', '--source', source])).toMatchSnapshot();
  });

  it('reports a response that does not match its schema', async () => {
    const source = await start(new FakeServer(() => ({hello: 1})));
    expect(await run(['versions', '--source', source])).toMatchSnapshot();
  });

  it('reports a source that refuses connections', async () => {
    const server = createFakePlatform([]);
    const source = await server.start();
    await server.stop();
    const args = ['versions', '--source', source, '--json'];
    expect(await run(args)).toMatchSnapshot();
  });

  it('shows a fleet that holds the same version', async () => {
    const a = await start(createFakeProxy(proxyStatus('bill-1', 4)));
    const b = await start(createFakeProxy(proxyStatus('bill-2', 4)));
    expect(await run(['status', '--proxy', a, b])).toMatchSnapshot();
  });

  it('shows the lag of a proxy against the platform', async () => {
    const source = await start(createFakePlatform(SUBMISSIONS));
    const a = await start(createFakeProxy(proxyStatus('bill-1', 4)));
    const b = await start(createFakeProxy(proxyStatus('bill-2', 2)));
    const args = ['status', '--source', source, '--fleet', '--proxy', a, b];
    expect(await run(args)).toMatchSnapshot();
  });

  it('shows proxies that disagree on the digest', async () => {
    const a = await start(createFakeProxy(proxyStatus('bill-1', 4)));
    const b = await start(createFakeProxy(proxyStatus('bill-2', 4, 'other')));
    const args = ['status', '--json', '--proxy', a, b];
    expect(await run(args)).toMatchSnapshot();
  });

  it('shows the proxies that answered and reports the one that did not', async () => {
    const a = await start(createFakeProxy(proxyStatus('bill-1', 4)));
    const b = createFakeProxy({});
    const gone = await b.start();
    await b.stop();
    expect(await run(['status', '--proxy', a, gone])).toMatchSnapshot();
  });
});
