/** Compares the fold with a naive reference written from the specification. */
import fc from 'fast-check';
import {
  acceptSubmissions,
  createConfigLog,
} from '../../src/core/config/config_log.js';
import {Submission} from '../../src/model/config.js';
import {expect} from '../support/chai_setup.js';
import {getFuzzOptions} from './fuzz_options.js';

type Entries = Record<string, Record<string, unknown>>;
type Kind = 'services' | 'upstreams' | 'routes';
type NaiveConfig = Record<Kind, Entries>;

interface NaivePatch {
  /** Undefined if the schema rejects the patch. */
  readonly entries?: Partial<Record<Kind, Record<string, unknown>>>;
  readonly published: unknown;
}

interface NaiveState {
  version: number;
  config: NaiveConfig;
  readonly verdicts: string[];
}

const KINDS: readonly Kind[] = ['services', 'upstreams', 'routes'];

const service = fc.record({
  slots: fc.integer({min: 1, max: 3}),
  connections: fc.integer({min: 2, max: 4}),
  queue: fc.constant(4),
  keyLifetimeMs: fc.constant(1_000),
  retryBudgetPercent: fc.constant(10),
  slowStartMs: fc.constant(0),
});

const upstream = fc.record({
  service: fc.constantFrom('s1', 's2', 's3'),
  region: fc.constant('centre'),
  zone: fc.constantFrom('zilina-a', 'zilina-b'),
  peerAddress: fc.constantFrom('10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'),
});

const route = fc.record(
  {
    pathPrefix: fc.constantFrom('/', '/a', '/a/b'),
    host: fc.constantFrom('h1', 'h2'),
    methods: fc.uniqueArray(fc.constantFrom('GET', 'POST'), {minLength: 1}),
    service: fc.constantFrom('s1', 's2', 's3'),
    idempotent: fc.constantFrom('by-method' as const, true, false),
    timeoutMs: fc.constant(100),
    priority: fc.constant('batch'),
  },
  {
    requiredKeys: [
      'pathPrefix',
      'service',
      'idempotent',
      'timeoutMs',
      'priority',
    ],
  },
);

function createEntriesArbitrary(
  names: readonly string[],
  value: fc.Arbitrary<unknown>,
) {
  const change = fc.option(value, {nil: null, freq: 4});
  return fc.dictionary(fc.constantFrom(...names), change, {maxKeys: 3});
}

const goodPatch: fc.Arbitrary<NaivePatch> = fc
  .record(
    {
      services: createEntriesArbitrary(['s1', 's2'], service),
      upstreams: createEntriesArbitrary(['u1', 'u2', 'u3'], upstream),
      routes: createEntriesArbitrary(['r1', 'r2', 'r3'], route),
    },
    {requiredKeys: []},
  )
  .map(entries => ({entries, published: entries}));

const badPatch: fc.Arbitrary<NaivePatch> = fc
  .constantFrom<unknown>(
    null,
    'patch',
    {surprise: {}},
    {services: {'Bad Name': null}},
    {services: {s1: {slots: 0, connections: 2}}},
    {services: {s1: {slots: 1, connections: 2, colour: 'red'}}},
    {routes: {r1: {pathPrefix: 'a', service: 's1'}}},
    {upstreams: {u1: {service: 's1', region: 'c', zone: 'z'}}},
  )
  .map(published => ({published}));

const submissions = fc.array(
  fc.record({
    patch: fc.oneof(
      {weight: 9, arbitrary: goodPatch},
      {weight: 1, arbitrary: badPatch},
    ),
    /** Added to the current version; 0 makes the base current. */
    baseOffset: fc.constantFrom(0, 0, 0, 0, -1, 1),
  }),
  {minLength: 1, maxLength: 30},
);

/** Initial configuration. */
const FIRST: NaivePatch['entries'] = {
  services: {s1: fc.sample(service, {numRuns: 1, seed: 1})[0]},
  upstreams: {
    u1: {
      service: 's1',
      region: 'centre',
      zone: 'zilina-a',
      peerAddress: '10.0.0.1:1',
    },
  },
};

function foldNaively(state: NaiveState, base: number, patch: NaivePatch): void {
  const verdict = validateNaively(state, base, patch);
  if (typeof verdict === 'string') {
    state.verdicts.push(verdict);
    return;
  }
  state.config = verdict;
  state.version += 1;
  state.verdicts.push('accepted');
}

/** Returns the new configuration, or the code of the first fault. */
function validateNaively(
  {version, config}: NaiveState,
  base: number,
  {entries}: NaivePatch,
): NaiveConfig | string {
  if (base !== version) {
    return 'stale_base';
  }
  if (entries === undefined) {
    return 'malformed_patch';
  }
  if (KINDS.every(kind => Object.keys(entries[kind] ?? {}).length === 0)) {
    return 'empty_patch';
  }
  const next: NaiveConfig = JSON.parse(JSON.stringify(config));
  for (const kind of KINDS) {
    for (const [name, change] of Object.entries(entries[kind] ?? {})) {
      if (change === null && !(name in next[kind])) {
        return 'unknown_entry';
      }
      if (change === null) {
        delete next[kind][name];
      } else {
        next[kind][name] = change as Record<string, unknown>;
      }
    }
  }
  return findUpstreamFault(next) ?? findRouteFault(next) ?? next;
}

function findUpstreamFault({services, upstreams}: NaiveConfig) {
  const names = Object.keys(upstreams).sort();
  for (const [i, name] of names.entries()) {
    if (!(String(upstreams[name].service) in services)) {
      return 'unknown_service';
    }
    const before = names.slice(0, i).map(other => upstreams[other].peerAddress);
    if (before.includes(upstreams[name].peerAddress)) {
      return 'address_taken';
    }
  }
  return undefined;
}

function findRouteFault({services, upstreams, routes}: NaiveConfig) {
  const names = Object.keys(routes).sort();
  for (const [i, name] of names.entries()) {
    const target = String(routes[name].service);
    if (!(target in services)) {
      return 'unknown_service';
    }
    if (!Object.values(upstreams).some(({service}) => service === target)) {
      return 'service_without_upstream';
    }
    for (const other of names.slice(0, i)) {
      if (overlaps(routes[name], routes[other])) {
        return 'ambiguous_route';
      }
    }
  }
  return undefined;
}

/** Reports whether for some method neither route is more specific. */
function overlaps(a: Record<string, unknown>, b: Record<string, unknown>) {
  if (a.pathPrefix !== b.pathPrefix || a.host !== b.host) {
    return false;
  }
  const {methods: ofA} = a as {methods?: string[]};
  const {methods: ofB} = b as {methods?: string[]};
  return ofA === undefined || ofB === undefined
    ? ofA === ofB
    : ofA.some(method => ofB.includes(method));
}

describe('differential: fold', () => {
  it('agrees with the naive fold for any order of arrival', () => {
    const property = fc.property(
      submissions,
      fc.array(fc.nat(40), {maxLength: 80}),
      (steps, deliveries) => {
        const naive: NaiveState = {
          version: 0,
          config: {services: {}, upstreams: {}, routes: {}},
          verdicts: [],
        };
        const first = {
          patch: {entries: FIRST, published: FIRST},
          baseOffset: 0,
        };
        const log: Submission[] = [];
        for (const {patch, baseOffset} of [first, ...steps]) {
          const base = Math.max(0, naive.version + baseOffset);
          const sequence = log.length + 1;
          const {published} = patch;
          const id = `s${sequence}`;
          log.push({sequence, id, base, publishedAt: 0, patch: published});
          foldNaively(naive, base, patch);
        }
        const real = createConfigLog();
        const unordered = deliveries.map(n => log[n % log.length]);
        let version = 0;
        for (const submission of [...unordered, ...log]) {
          acceptSubmissions(real, [submission], () => undefined);
          expect(real.latest.version).to.be.at.least(version);
          version = real.latest.version;
        }
        const {latest} = real;
        expect(latest.sequence).to.equal(log.length);
        expect(latest.version).to.equal(naive.version);
        expect(latest.config).to.deep.equal(naive.config);
        const verdicts = latest.outcomes.map(({verdict}) =>
          verdict.kind === 'accepted' ? 'accepted' : verdict.code,
        );
        expect(verdicts).to.deep.equal(naive.verdicts);
      },
    );
    fc.assert(property, getFuzzOptions('fold', 300));
  }).timeout(0);
});
