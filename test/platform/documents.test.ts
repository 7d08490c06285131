/** Parsing of the platform's documents and rendered settings. */
import {Result} from 'neverthrow';
import {parseConfig, parseInstance} from '../../platform/documents.js';
import {parseSettings} from '../../platform/settings.js';
import {createConfigDelta} from '../../src/core/mesh/config_delta.js';
import {MessageCodec} from '../../src/mesh/message_codec.js';
import {LinkMessage, MeshConfig} from '../../src/model/mesh.js';
import {createAttempt} from '../mesh/mesh_fixture.js';
import {expect} from '../support/chai_setup.js';
import {createConfigDocument, createInstanceEntry} from './store_standin.js';

/** Messages in which peers send a configuration and the calls of its routes. */
function createPeerMessages(config: MeshConfig): LinkMessage[] {
  const before = {...config, routes: [], services: []};
  const deltas = [
    createConfigDelta(before, config),
    createConfigDelta(config, before),
  ];
  const {version, routes} = config;
  const ages = {ageMs: 0, configAgeMs: 0, versionAgeMs: 0};
  const state = {revision: 1, version, configRevision: 1, hasConfig: false};
  return [
    {kind: 'state', ...state, ...ages, deltas},
    ...routes.map(({name, aimMs, backends: [{service}]}): LinkMessage => ({
      kind: 'attempt',
      attempt: {...createAttempt(), route: name, service, routeAimMs: aimMs},
      method: 'GET',
      path: '/',
      headers: {},
    })),
  ];
}

function formatResult(result: Result<unknown, string>): unknown {
  return result.match(
    value => value,
    error => `refused: ${error}`,
  );
}

describe('platform documents', () => {
  it('parses a configuration', () => {
    const text = JSON.stringify(createConfigDocument(7));
    const config = parseConfig(text).map(parsed => parsed.config);
    expect(formatResult(config)).toMatchSnapshot();
  });

  it('rejects an invalid configuration with the reason', () => {
    const route = {
      host: 'a.example',
      prefix: '/a/',
      kind: 'safe',
      timeout: '1s',
      aim: '1s',
      attempts: 2,
      priority: 0,
    };
    const createConfigWithRoute = (overrides: object) =>
      createConfigDocument(7, {
        routes: {r: {...route, service: 'desk', ...overrides}},
      });
    const cases: Readonly<Record<string, unknown>> = {
      'cut short': JSON.stringify(createConfigDocument(7)).slice(0, 80),
      'unknown service': createConfigWithRoute({service: 'none'}),
      'no service': createConfigWithRoute({service: undefined}),
      'bare prefix': createConfigWithRoute({prefix: '/a'}),
      'no host': createConfigWithRoute({host: undefined}),
      'no attempts': createConfigWithRoute({attempts: 0}),
      'time without unit': createConfigWithRoute({timeout: '1200'}),
      'version as text': createConfigDocument(7, {version: '7'}),
    };
    const shown = Object.entries(cases).map(([name, value]) => {
      const text = typeof value === 'string' ? value : JSON.stringify(value);
      return `${name} -> ${formatResult(parseConfig(text))}`;
    });
    expect(shown).toMatchSnapshot();
  });

  // A bound that the store does not have stops all changes of the configuration (inc16).
  it('accepts every value that the store accepts, and so do peers', () => {
    const route = {
      host: 'a.example',
      prefix: '/a/',
      kind: 'safe',
      timeout: '1s',
      aim: '1s',
      attempts: 2,
      priority: 0,
      service: 'desk',
    };
    const longName = 'n'.repeat(1_000);
    const createWithRoute = (overrides: object, name = 'r') => ({
      routes: {[name]: {...route, ...overrides}},
    });
    const createWithService = (overrides: object, name = 'desk') => ({
      ...createWithRoute({service: name}),
      services: {[name]: {'max-conns': 120, ...overrides}},
    });
    const createWithLimits = (overrides: object) => ({
      limits: {
        'max-header-bytes': 16_384,
        'max-body-bytes': 1_048_576,
        'header-timeout': '3s',
        'idle-timeout': '15s',
        ...overrides,
      },
    });
    const backends = [{service: 'desk', weight: 1}];
    const overrides: Readonly<Record<string, object>> = {
      '17 attempts': createWithRoute({attempts: 17}),
      '1,000 attempts': createWithRoute({attempts: 1_000}),
      'long route name': createWithRoute({}, longName),
      'long service name': createWithService({}, longName),
      'time below a millisecond': createWithRoute({timeout: '0.4ms'}),
      'aim of nothing': createWithRoute({aim: '0ms'}),
      'time with an exponent': createWithRoute({timeout: '1.5e-1s'}),
      'large priority': createWithRoute({priority: 1_000_000}),
      'absent service as null': createWithRoute({service: null, backends}),
      'absent backends as null': createWithRoute({backends: null}),
      'absent backends as an empty list': createWithRoute({backends: []}),
      'absent cold start as null': createWithService({
        'cold-start': null,
        'cold-per-s': null,
      }),
      'no connections': createWithService({'max-conns': 0}),
      'no bodies': createWithLimits({'max-body-bytes': 0}),
      'no head': createWithLimits({'max-header-bytes': 0}),
      'largest integers': createWithLimits({
        'max-header-bytes': 2 ** 63,
        'max-body-bytes': 2 ** 63,
      }),
      'no times': createWithLimits({
        'header-timeout': '0s',
        'idle-timeout': '0s',
      }),
    };
    const codec = new MessageCodec([]);
    const shown = Object.entries(overrides).map(([name, changed]) => {
      const text = JSON.stringify(createConfigDocument(7, changed));
      const read = parseConfig(text);
      if (read.isErr()) {
        return `${name} -> refused: ${read.error}`;
      }
      const refusals = createPeerMessages(read.value.config).flatMap(message =>
        codec.decode(codec.encode(message, true)).match(
          () => [],
          error => [`${message.kind} refused: ${error}`],
        ),
      );
      return `${name} -> ${['accepted', ...refusals].join(', ')}`;
    });
    expect(shown).toMatchSnapshot();
  });

  it('parses the entry of an upstream', () => {
    const text = JSON.stringify(
      createInstanceEntry('10.0.0.1:80', {'cold-left': '2.5s'}),
    );
    expect(formatResult(parseInstance('i-1', text, 7))).toMatchSnapshot();
  });

  it('parses routes of known and unknown kinds, at most once where in doubt', () => {
    const route = {
      host: 'a.example',
      prefix: '/a/',
      timeout: '1s',
      aim: '1s',
      attempts: 2,
      priority: 0,
      service: 'desk',
    };
    const kinds = ['safe', 'unsafe', 'upload', 'ledgered'];
    const routes = Object.fromEntries(
      kinds.map(kind => [kind, {...route, kind}]),
    );
    const text = JSON.stringify(createConfigDocument(7, {routes}));
    const {config, unknownKinds} = parseConfig(text)._unsafeUnwrap();
    const idempotent = config.routes.filter(r => r.idempotent);
    expect(idempotent.map(({name}) => name)).to.deep.equal(['safe']);
    expect(unknownKinds).to.deep.equal(['ledgered']);
  });

  it('orders instances by the entry revision if the start time is missing', () => {
    const text = JSON.stringify(
      createInstanceEntry('10.0.0.1:80', {born: undefined}),
    );
    const read = parseInstance('i-1', text, 7);
    expect(read._unsafeUnwrap()).to.include({incarnation: 0, registeredAt: 7});
  });

  it('rejects an entry with missing or invalid fields', () => {
    const cases: Readonly<Record<string, object | string>> = {
      'no slots': createInstanceEntry('10.0.0.1:80', {slots: undefined}),
      'slots as text': createInstanceEntry('10.0.0.1:80', {slots: '9'}),
      'unknown state': createInstanceEntry('10.0.0.1:80', {state: 'resting'}),
      'address by name': createInstanceEntry('host:80'),
      'not JSON': '\u0000\u0001',
    };
    const shown = Object.entries(cases).map(([name, value]) => {
      const text = typeof value === 'string' ? value : JSON.stringify(value);
      return `${name} -> ${formatResult(parseInstance('i-1', text, 7))}`;
    });
    expect(shown).toMatchSnapshot();
  });

  it('parses rendered settings and describes their errors', () => {
    const settings = {
      name: 'vm-1',
      region: 'west',
      zone: 'north',
      service: 'desk',
      listen: {
        callers: '10.0.0.1:1',
        peers: '10.0.0.1:2',
        ready: '10.0.0.1:3',
        operators: '10.0.0.1:4',
      },
      upstream: '10.0.0.1:5',
      source: '10.0.0.9:6',
      heartbeat: '1500ms',
      bounds: {
        grace: '6s',
        'retry-budget': 0.2,
        'budget-window': '10s',
        'budget-extra': 60,
        'cold-excess': 1.5,
        'cold-slack': 8,
        drain: '2000ms',
      },
    };
    const whole = JSON.stringify(settings);
    const shown = [
      formatResult(parseSettings(whole)),
      formatResult(parseSettings(whole.slice(0, 90))),
      formatResult(
        parseSettings(JSON.stringify({...settings, upstream: 'vm-1'})),
      ),
      formatResult(parseSettings(JSON.stringify({...settings, bounds: {}}))),
      // Deployments differ in their contracts, or state none.
      ...[['base'], ['base', 'pressure'], null].map(contracts =>
        parseSettings(JSON.stringify({...settings, contracts}))
          .map(({scarceSlots}) => scarceSlots)
          ._unsafeUnwrap(),
      ),
      ...[{'memory-mb': 602, 'link-mbps': 5}, {'link-mbps': 5}, null].map(
        limits =>
          parseSettings(JSON.stringify({...settings, limits}))
            .map(({memoryMb}) => memoryMb)
            ._unsafeUnwrap(),
      ),
    ];
    expect(shown).toMatchSnapshot();
  });
});
