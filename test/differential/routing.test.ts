/** Compares route lookup with a naive linear search over path segments. */
import fc from 'fast-check';
import {
  createRoutingTable,
  findRoute,
} from '../../src/core/config/routing_table.js';
import {checkReferences} from '../../src/core/config/validate.js';
import {Config, Route} from '../../src/model/config.js';
import {expect} from '../support/chai_setup.js';
import {getFuzzOptions} from './fuzz_options.js';

const segment = fc.constantFrom('a', 'b', 'ab');
const prefix = fc
  .tuple(fc.array(segment, {maxLength: 3}), fc.boolean())
  .map(([parts, slash]) =>
    parts.length === 0 ? '/' : `/${parts.join('/')}${slash ? '/' : ''}`,
  );
const path = fc
  .tuple(prefix, fc.constantFrom('', '?q=1', '/?q=/a', 'b', '/b'))
  .map(parts => parts.join(''));
const host = fc.constantFrom('desk', 'ventas', 'VENTAS');
const hostHeader = fc
  .tuple(
    fc.constantFrom('desk', 'Desk', 'ventas', 'other'),
    fc.constantFrom('', ':80'),
  )
  .map(parts => parts.join(''));
const method = fc.constantFrom('GET', 'POST', 'PUT');

const route: fc.Arbitrary<Route> = fc
  .record({
    pathPrefix: prefix,
    host: fc.option(host, {nil: undefined}),
    methods: fc.option(fc.uniqueArray(method, {minLength: 1}), {
      nil: undefined,
    }),
  })
  .map(parts => ({
    ...parts,
    service: 'desk',
    idempotent: 'by-method',
    timeoutMs: 100,
    priority: 'batch',
  }));

function createConfig(routes: readonly Route[]): Config {
  return {
    services: {
      desk: {
        slots: 1,
        connections: 2,
        queue: 0,
        keyLifetimeMs: 0,
        retryBudgetPercent: 0,
        slowStartMs: 0,
      },
    },
    upstreams: {
      u1: {
        service: 'desk',
        region: 'centre',
        zone: 'zilina-a',
        peerAddress: '10.0.0.1:1',
      },
    },
    routes: Object.fromEntries(routes.map((r, i) => [`r${i}`, r])),
  };
}

/** Matches paths by whole segments, and hosts without port and case. */
function matchesNaively(
  {pathPrefix, host, methods}: Route,
  asked: {method: string; host: string; path: string},
): boolean {
  const segments = asked.path.split('?')[0].split('/');
  const wanted = pathPrefix.split('/');
  const open = wanted.at(-1) === '';
  const exact = open ? wanted.slice(0, -1) : wanted;
  const enough = segments.length >= wanted.length;
  const matchesPath = enough && exact.every((part, i) => part === segments[i]);
  const [askedHost] = asked.host.split(':');
  return (
    matchesPath &&
    (host === undefined || host.toLowerCase() === askedHost.toLowerCase()) &&
    (methods === undefined || methods.includes(asked.method))
  );
}

/** Returns the specificity of a route; the highest one wins. */
function rankNaively({pathPrefix, host, methods}: Route): number {
  return (
    pathPrefix.length * 4 +
    (host === undefined ? 0 : 2) +
    (methods === undefined ? 0 : 1)
  );
}

describe('differential: routing', () => {
  it('finds the route that a linear search finds', () => {
    const property = fc.property(
      fc.array(route, {maxLength: 8}),
      fc.array(fc.record({method, host: hostHeader, path}), {maxLength: 10}),
      (routes, requests) => {
        const config = createConfig(routes);
        fc.pre(checkReferences(config).isOk());
        const table = createRoutingTable(1, config);
        for (const request of requests) {
          const matching = Object.values(config.routes).filter(candidate =>
            matchesNaively(candidate, request),
          );
          const best = Math.max(0, ...matching.map(rankNaively));
          const expected = matching.filter(r => rankNaively(r) === best);
          const {method, host, path} = request;
          const found = findRoute(table, method, host, path);
          const asRoute =
            found === undefined ? undefined : config.routes[found.id];
          if (expected.length === 0) {
            expect(asRoute).to.equal(undefined);
          } else {
            expect(expected).to.include(asRoute);
          }
        }
      },
    );
    fc.assert(property, getFuzzOptions('routing', 500));
  }).timeout(0);
});
