/** Test fixture for the entry role of one core. */
import {Answer, CallInfo, Effect} from '../../src/core/types.js';
import {Service} from '../../src/model/config.js';
import {Attempt, LoadReport} from '../../src/model/peer.js';
import {Refusal} from '../../src/core/refusals.js';
import {CoreFixture, createServicePatch} from '../support/core_fixture.js';

export const OK: Answer = {
  kind: 'answer',
  status: 200,
  headers: {},
  body: new Uint8Array([1]),
};

export const IDLE: LoadReport = {
  running: 0,
  queued: 0,
  slots: 10,
  leaving: false,
};

/** Availability zone and region of an upstream. */
export type Placement = readonly [zone: string, region: string];

export const LOCAL: Placement = ['zilina-a', 'centre'];
export const OTHER_ZONE: Placement = ['martin-c', 'centre'];
export const OTHER_REGION: Placement = ['colon', 'east'];

/** An entry in zone `zilina-a` of region `centre`, beside no upstream. */
export class EntryFixture extends CoreFixture {
  constructor(
    placements: Readonly<Record<string, Placement>>,
    service: Partial<Service> = {},
  ) {
    super('desk-99');
    const patch = createServicePatch(Object.keys(placements), {
      slots: 10,
      connections: 120,
      ...service,
    });
    for (const [id, [zone, region]] of Object.entries(placements)) {
      Object.assign(patch.upstreams?.[id] ?? {}, {zone, region});
    }
    this.adopt(patch);
  }

  /** Sends a call and returns its first attempt. */
  start(callId: string, changes: Partial<CallInfo> = {}): Attempt {
    const attempt = getAttempt(this.call(callId, changes));
    if (attempt === undefined) {
      throw new Error(
        `Call ${callId} sent no attempt; check its route and the upstreams.`,
      );
    }
    return attempt;
  }

  /** Ends an attempt with an answer or refusal from its owner. */
  finish(
    attempt: Attempt,
    result: Answer | Refusal = OK,
    load: Partial<LoadReport> = {},
  ): Effect[] {
    return this.reduce({
      kind: 'attemptAnswered',
      attemptId: attempt.attemptId,
      result,
      load: {...IDLE, ...load},
    });
  }

  /** Counts calls by upstream; each call is answered before the next one. */
  countTargets(
    calls: number,
    load: (upstreamId: string) => Partial<LoadReport> = () => ({}),
  ): Record<string, number> {
    const counts: Record<string, number> = {};
    for (let n = 0; n < calls; n += 1) {
      const attempt = this.start(`c${this.at}.${n}`);
      const {upstreamId} = attempt;
      counts[upstreamId] = (counts[upstreamId] ?? 0) + 1;
      this.finish(attempt, OK, load(upstreamId));
    }
    return counts;
  }
}

/** Returns the attempt that the effects send, if any. */
export function getAttempt(effects: readonly Effect[]): Attempt | undefined {
  const sent = effects.find(effect => effect.kind === 'sendAttempt');
  return sent?.kind === 'sendAttempt' ? sent.attempt : undefined;
}
