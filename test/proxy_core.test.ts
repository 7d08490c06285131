import {createCoreSettings} from '../src/core/core_settings.js';
import {reduceProxy} from '../src/core/proxy_core.js';
import {createProxyState, ProxyState} from '../src/core/proxy_state.js';
import {Effect, EventBody} from '../src/core/types.js';
import {Submission} from '../src/model/config.js';
import {expect} from './support/chai_setup.js';
import {createSettings, START_MS} from './support/core_fixture.js';

function createState(): ProxyState {
  return createProxyState(
    createCoreSettings(createSettings('desk-1'), '127.0.0.1:2', START_MS),
  );
}

function reduce(state: ProxyState, body: EventBody, at = START_MS): Effect[] {
  const [, effects] = reduceProxy(state, {...body, at, entropy: 1});
  return [...effects];
}

const SUBMISSION: Submission = {
  sequence: 1,
  id: 'first',
  base: 0,
  publishedAt: START_MS,
  patch: {
    services: {desk: {slots: 2, connections: 10}},
    upstreams: {
      'desk-1': {
        service: 'desk',
        region: 'centre',
        zone: 'zilina-a',
        peerAddress: '127.0.0.1:2',
      },
    },
    routes: {desk: {pathPrefix: '/', service: 'desk'}},
  },
};

describe('proxy core', () => {
  it('serves a call once the first version is in force', () => {
    const state = createState();
    const call = {
      method: 'GET',
      host: 'desk',
      path: '/plan',
      fingerprint: 'f',
      retriedByOuter: false,
    };
    expect({
      started: reduce(state, {kind: 'started'}),
      early: reduce(state, {kind: 'callArrived', callId: 'c0', call}),
      answered: reduce(state, {
        kind: 'sourceAnswered',
        head: 1,
        submissions: [SUBMISSION],
      }),
      // Witnesses are asked twice; this proxy is the only one.
      ready: reduce(state, {kind: 'tick'}),
      accepted: reduce(state, {kind: 'callArrived', callId: 'c1', call}),
    }).toMatchSnapshot();
  });
});
