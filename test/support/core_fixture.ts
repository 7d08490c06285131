/** Creates a decision core with a given configuration for tests. */
import {createCoreSettings} from '../../src/core/core_settings.js';
import {reduceProxy} from '../../src/core/proxy_core.js';
import {createProxyState, ProxyState} from '../../src/core/proxy_state.js';
import {CallInfo, Effect, EventBody} from '../../src/core/types.js';
import {Patch, Service, Submission} from '../../src/model/config.js';
import {Settings, SettingsSchema} from '../../src/model/settings.js';

/** Start of every simulated process, in Unix milliseconds. */
export const START_MS = 1_700_000_000_000;

/**
 * Creates the settings of one proxy.
 * @param upstreamId - The upstream on the proxy's VM.
 * @param changes - Settings that differ from the defaults.
 * @returns The settings.
 */
export function createSettings(
  upstreamId: string,
  changes: Partial<Settings> = {},
): Settings {
  const settings = SettingsSchema.parse({
    upstreamId,
    region: 'centre',
    zone: 'zilina-a',
    listen: {
      callers: '127.0.0.1:1',
      peers: '127.0.0.1:2',
      operators: '127.0.0.1:3',
    },
    upstream: {address: '127.0.0.1:4'},
    source: '127.0.0.1:5',
  });
  return {...settings, ...changes};
}

/**
 * Gets the peer address of an upstream in these fixtures.
 * @param upstreamId - The name of the upstream, which ends in a number.
 * @returns The address.
 */
export function getPeerAddress(upstreamId: string): string {
  return `127.0.0.1:${7_000 + Number(upstreamId.split('-').at(-1))}`;
}

/**
 * Creates a patch with one service, its upstreams and a route to it.
 * @param upstreamIds - The upstreams.
 * @param service - Settings of the service that differ from the defaults.
 * @returns The patch.
 */
export function createServicePatch(
  upstreamIds: readonly string[],
  service: Partial<Service> = {},
): Patch {
  const upstreams = upstreamIds.map(id => [
    id,
    {
      service: 'desk',
      region: 'centre',
      zone: 'zilina-a',
      peerAddress: getPeerAddress(id),
    },
  ]);
  return {
    services: {
      desk: {
        slots: 2,
        connections: 10,
        queue: 4,
        keyLifetimeMs: 60_000,
        retryBudgetPercent: 10,
        slowStartMs: 0,
        ...service,
      },
    },
    upstreams: Object.fromEntries(upstreams),
    routes: {
      desk: {
        pathPrefix: '/',
        service: 'desk',
        idempotent: 'by-method',
        timeoutMs: 5_000,
        priority: 'interactive',
      },
    },
  };
}

export function createSubmission(
  sequence: number,
  base: number,
  patch: unknown,
): Submission {
  return {sequence, id: `s${sequence}`, base, publishedAt: START_MS, patch};
}

/** One decision core whose clock the test sets through `at`. */
export class CoreFixture {
  readonly state: ProxyState;
  at = START_MS;
  private entropy = 1;

  constructor(upstreamId: string, changes: Partial<Settings> = {}) {
    const settings = createSettings(upstreamId, changes);
    const address = getPeerAddress(upstreamId);
    this.state = createProxyState(
      createCoreSettings(settings, address, START_MS),
    );
  }

  /**
   * Reduces one event at the current time.
   * @param body - The event.
   * @returns Its effects, except counters and log messages.
   */
  reduce(body: EventBody): Effect[] {
    this.entropy = (Math.imul(this.entropy, 1_664_525) + 1_013_904_223) >>> 0;
    // The lowest bits of this generator have a short period, so high ones are
    // mixed in.
    const entropy = (this.entropy ^ (this.entropy >>> 15)) >>> 0;
    const event = {...body, at: this.at, entropy};
    const [, effects] = reduceProxy(this.state, event);
    return effects.filter(({kind}) => kind !== 'count' && kind !== 'log');
  }

  /**
   * Makes the proxy ready with a configuration: the source answers, and each
   * peer replies that it is starting too.
   * @param patch - The patch that becomes version 1.
   */
  adopt(patch: Patch): void {
    const submissions = [createSubmission(1, 0, patch)];
    this.reduce({kind: 'sourceAnswered', head: 1, submissions});
    for (const round of [1, 2]) {
      for (const other of Object.keys(patch.upstreams ?? {})) {
        this.replyToJoinAsStarting(other, round);
      }
    }
  }

  /** Replies to the proxy's join as a peer that is starting itself. */
  private replyToJoinAsStarting(other: string, round: number): void {
    const {id} = this.state.settings;
    this.reduce({
      kind: 'peerReplied',
      address: getPeerAddress(other),
      request: {kind: 'join', id, round},
      reply: {
        kind: 'join',
        incarnation: START_MS,
        ready: false,
        sequence: 0,
        region: 'centre',
        heard: 0,
        members: [],
      },
    });
  }

  /**
   * Sends a call to the proxy.
   * @param callId - Identifier of the call.
   * @param changes - Fields that differ from a plain GET.
   * @returns The effects.
   */
  call(callId: string, changes: Partial<CallInfo> = {}): Effect[] {
    const call: CallInfo = {
      method: 'GET',
      host: 'desk',
      path: '/plan',
      fingerprint: `f-${callId}`,
      retriedByOuter: false,
      ...changes,
    };
    return this.reduce({kind: 'callArrived', callId, call});
  }
}
