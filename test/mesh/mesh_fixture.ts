/** Test fixture: drives the core of one proxy with given events and times. */
import {reduceMesh} from '../../src/core/mesh/mesh_core.js';
import {MeshSettings} from '../../src/core/mesh/mesh_settings.js';
import {MeshState, createMeshState} from '../../src/core/mesh/mesh_state.js';
import {
  AttemptOutcome,
  MeshEffect,
  MeshEventBody,
} from '../../src/core/mesh/mesh_types.js';
import {DEFAULT_POLICY} from '../../src/core/policy.js';
import {ReadDelays} from '../../src/mesh/turn_clock.js';
import {createRefusal, RefusalReason} from '../../src/core/refusals.js';
import {
  Hello,
  Instance,
  MeshAttempt,
  MeshConfig,
  MeshRoute,
} from '../../src/model/mesh.js';

export const SELF = '10.0.0.1';
const LINK_PORT = 7000;

export const NO_BYTES = {received: 0, sent: 0};

/** Of a process that reads its sockets at once. */
export const NO_DELAYS: ReadDelays = {
  enter: () => undefined,
  getBehindMs: () => 0,
};

/** Entropy with which no call explores an upstream. */
export const DEFAULT_ENTROPY = 2 ** 31;

export function createRoute(overrides: Partial<MeshRoute> = {}): MeshRoute {
  return {
    name: 'read',
    host: 'shop.example',
    pathPrefix: '/read/',
    idempotent: true,
    timeoutMs: 1_200,
    aimMs: 400,
    attempts: 2,
    priority: 2,
    backends: [{service: 'desk', weight: 1}],
    ...overrides,
  };
}

export const CHARGE_ROUTE = createRoute({
  name: 'charge',
  pathPrefix: '/charge/',
  idempotent: false,
  priority: 0,
});

export function createConfig(
  version = 1,
  routes: readonly MeshRoute[] = [createRoute(), CHARGE_ROUTE],
): MeshConfig {
  return {
    version,
    routes,
    services: [{name: 'desk', connections: 120}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

export function createInstance(
  host: number,
  overrides: Partial<Instance> = {},
): Instance {
  return {
    id: `i-${host}`,
    service: 'desk',
    address: `10.0.0.${host}:8000`,
    zone: 'north',
    slots: 2,
    state: 'ready',
    coldMs: 0,
    incarnation: 1,
    registeredAt: 1,
    heartbeat: 1,
    ...overrides,
  };
}

export function createAttempt(
  overrides: Partial<MeshAttempt> = {},
): MeshAttempt {
  return {
    attemptId: 'a-1',
    requestId: 'r-1',
    service: 'desk',
    instanceId: 'i-1',
    route: 'read',
    callerService: 'desk',
    idempotent: true,
    priority: 2,
    aimMs: 400,
    timeoutMs: 1_200,
    routeAimMs: 400,
    fingerprint: 'f-1',
    ...overrides,
  };
}

/** The message that a peer sends when a link opens. */
export function createHello(overrides: Partial<Hello> = {}): Hello {
  return {
    kind: 'hello',
    address: '10.0.0.2:7000',
    zone: 'north',
    incarnation: 1,
    version: 1,
    revision: 10,
    leaving: false,
    linkMbps: 1_000,
    ...overrides,
  };
}

export const SETTINGS: MeshSettings = {
  address: `${SELF}:${LINK_PORT}`,
  zone: 'north',
  startedAt: 1,
  service: 'desk',
  upstreamAddress: `${SELF}:8000`,
  linkPort: LINK_PORT,
  heartbeatMs: 1_500,
  retryShare: 0.2,
  retryExtra: 60,
  retryWindowMs: 10_000,
  scarceSlots: false,
  graceMs: 6_000,
  linkMbps: 1_000,
  readIntervalMs: 600,
  maxListAgeMs: 1_400,
  quarantineMs: 60_000,
  policy: DEFAULT_POLICY,
};

export class MeshFixture {
  /** Bytes of answers that the process has not written yet. */
  unsentBytes = 0;
  at = 1_000;
  readonly state: MeshState;
  private effects: MeshEffect[] = [];

  constructor(overrides: Partial<MeshSettings> = {}) {
    this.state = createMeshState({...SETTINGS, ...overrides});
  }

  /** Reduces an event and returns its effects. */
  post(body: MeshEventBody, entropy = DEFAULT_ENTROPY): readonly MeshEffect[] {
    const event = {...body, at: this.at, entropy};
    const [, effects] = reduceMesh(this.state, event);
    this.effects.push(...effects);
    return effects;
  }

  /** Advances the clock in ticks of 25 ms. */
  advance(ms: number): readonly MeshEffect[] {
    const effects: MeshEffect[] = [];
    for (let remaining = ms; remaining > 0; remaining -= 25) {
      this.at += Math.min(25, remaining);
      const {unsentBytes} = this;
      effects.push(
        ...this.post({kind: 'tick', linkBytes: NO_BYTES, unsentBytes}),
      );
    }
    return effects;
  }

  /** Delivers the fleet and a configuration as the source's answers. */
  loadFromSource(
    instances: readonly Instance[],
    config: MeshConfig = createConfig(),
    revision = 10,
  ): readonly MeshEffect[] {
    return [
      ...this.readFleet(instances, revision),
      ...this.readConfig(config, revision),
    ];
  }

  /** Delivers a listing of the fleet as the source's answer. */
  readFleet(
    instances: readonly Instance[],
    revision: number,
  ): readonly MeshEffect[] {
    return this.post({
      kind: 'sourceAnswered',
      request: {kind: 'fleet', mayBeStale: false},
      answer: {kind: 'fleet', revision, instances},
    });
  }

  /** Delivers the latest configuration as the source's answer. */
  readConfig(config: MeshConfig, revision: number): readonly MeshEffect[] {
    return this.post({
      kind: 'sourceAnswered',
      request: {kind: 'config'},
      answer: {kind: 'config', revision, config},
    });
  }

  /** Delivers a caller's request. */
  call(
    callId: string,
    path = '/read/1',
    timeoutMs = 2_500,
    parentId?: string,
  ): readonly MeshEffect[] {
    const requestId = `r-${callId}`;
    const host = 'shop.example';
    const fingerprint = `f-${callId}`;
    const call = {
      requestId,
      parentId,
      host,
      path,
      timeoutMs,
      bodyBytes: 0,
      fingerprint,
    };
    return this.post({kind: 'callArrived', callId, call});
  }

  /** Delivers an owner's refusal of an attempt. */
  refuse(
    attemptId: string,
    reason: RefusalReason,
    reachedUpstream = false,
  ): readonly MeshEffect[] {
    const result = createRefusal(reason, 100);
    return this.endAttempt(attemptId, {result, reachedUpstream});
  }

  /** Delivers an upstream's answer to an attempt. */
  answer(attemptId: string, status = 200): readonly MeshEffect[] {
    const body = new Uint8Array(0);
    const result = {kind: 'answer', status, headers: {}, body} as const;
    return this.endAttempt(attemptId, {result, reachedUpstream: true});
  }

  private endAttempt(
    attemptId: string,
    outcome: AttemptOutcome,
  ): readonly MeshEffect[] {
    return this.post({kind: 'attemptEnded', attemptId, outcome});
  }

  /** Removes and describes the effects since the last call. */
  drainEffects(): string[] {
    return describeEffects(this.effects.splice(0));
  }
}

/**
 * Creates an entry that has links to the owners of two upstreams, `i-2` and `i-3`,
 * and no upstream of its own.
 */
export function createRemoteEntry(): MeshFixture {
  const entry = new MeshFixture({upstreamAddress: `${SELF}:9999`});
  entry.loadFromSource([createInstance(2), createInstance(3)]);
  for (const host of [2, 3]) {
    const from = `10.0.0.${host}:${LINK_PORT}`;
    const message = createHello({address: from});
    entry.post({kind: 'messageReceived', from, message});
  }
  entry.drainEffects();
  return entry;
}

/** Creates the event of an upstream's empty 200 to an attempt. */
export function createUpstreamAnswer(attemptId: string): MeshEventBody {
  const body = new Uint8Array(0);
  return {
    kind: 'upstreamAnswered',
    attemptId,
    answer: {kind: 'answer', status: 200, headers: {}, body},
    facts: {notRun: false, otherInstance: false},
  };
}

/** Describes effects in one line each, without metrics and logs. */
export function describeEffects(effects: readonly MeshEffect[]): string[] {
  return effects.flatMap(effect => {
    switch (effect.kind) {
      case 'count':
      case 'countRoute':
      case 'observe':
      case 'log':
        return [];
      case 'answerCall': {
        const {callId, result} = effect;
        return result.kind === 'answer'
          ? `answerCall ${callId} ${result.status}`
          : `answerCall ${callId} ${result.reason} ${result.outcome}`;
      }
      case 'sendAttempt': {
        const {attemptId, instanceId} = effect.attempt;
        return `sendAttempt ${attemptId} to ${instanceId}`;
      }
      case 'finishAttempt': {
        const {attemptId, outcome} = effect;
        const {result, reachedUpstream} = outcome;
        const detail = result.kind === 'answer' ? result.status : result.reason;
        return `finishAttempt ${attemptId} ${detail} reached=${reachedUpstream}`;
      }
      case 'openLink':
        return `openLink ${effect.to}`;
      case 'sendMessage':
        return `sendMessage ${effect.message.kind} to ${effect.to}`;
      case 'readSource':
        return `readSource ${effect.request.kind}`;
      case 'dispatch':
      case 'abortDispatch':
      case 'cancelAttempt':
        return `${effect.kind} ${effect.attemptId}`;
      case 'configAdopted':
        return `configAdopted ${effect.config.version}`;
      default:
        return effect.kind;
    }
  });
}
