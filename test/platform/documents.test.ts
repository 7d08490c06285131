/** Parsing of the platform's documents and rendered settings. */
import {Result} from 'neverthrow';
import {parseConfig, parseInstance} from '../../platform/documents.js';
import {parseSettings} from '../../platform/settings.js';
import {expect} from '../support/chai_setup.js';
import {createConfigDocument, createInstanceEntry} from './store_standin.js';

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
