/** Compares the admission queue with a naive one that sorts a list on each use. */
import fc from 'fast-check';
import {
  AdmittedAttempt,
  createAdmission,
  releaseSlot,
  removeExpired,
  removeQueued,
  tryEnqueue,
  tryStartNext,
} from '../../src/core/owner/admission.js';
import {DEFAULT_POLICY} from '../../src/core/policy.js';
import {Attempt} from '../../src/model/peer.js';
import {expect} from '../support/chai_setup.js';
import {getFuzzOptions} from './fuzz_options.js';

interface NaiveRequest {
  readonly id: string;
  readonly batch: boolean;
  readonly deadlineAt: number;
  readonly suspect: boolean;
}

/** Reference implementation that sorts its whole list before each start. */
class NaiveQueue {
  queue: NaiveRequest[] = [];
  running: NaiveRequest[] = [];

  constructor(private readonly slots: number) {}

  /** Starts interactive before batch, then by deadline, then by arrival. */
  startNext(): string | undefined {
    const suspectRuns = this.running.some(({suspect}) => suspect);
    const candidates = this.queue
      .filter(({suspect}) => !(suspect && suspectRuns))
      .map((request, arrival) => ({request, arrival}))
      .sort(
        (a, b) =>
          Number(a.request.batch) - Number(b.request.batch) ||
          a.request.deadlineAt - b.request.deadlineAt ||
          a.arrival - b.arrival,
      );
    if (candidates.length === 0 || this.running.length >= this.slots) {
      return undefined;
    }
    const [{request}] = candidates;
    this.queue = this.queue.filter(other => other !== request);
    this.running.push(request);
    return request.id;
  }

  remove(id: string): void {
    this.queue = this.queue.filter(other => other.id !== id);
  }

  end(id: string): boolean {
    const before = this.running.length;
    this.running = this.running.filter(other => other.id !== id);
    return this.running.length < before;
  }
}

const step = fc.record({
  action: fc.constantFrom(
    'enqueue',
    'enqueue',
    'start',
    'end',
    'cancel',
    'wait',
  ),
  n: fc.nat(1_000),
  batch: fc.boolean(),
  suspect: fc.constantFrom(true, false, false, false),
  allowedMs: fc.constantFrom(1, 20, 100, 1_000),
});

function createAdmitted(request: NaiveRequest, at: number): AdmittedAttempt {
  const attempt: Attempt = {
    attemptId: request.id,
    service: 'desk',
    upstreamId: 'desk-1',
    version: 1,
    idempotent: true,
    privateKey: false,
    timeoutMs: request.deadlineAt - at,
    fingerprint: request.id,
    suspect: request.suspect,
    priority: request.batch ? 'batch' : 'interactive',
  };
  const {deadlineAt, suspect} = request;
  return {attempt, deadlineAt, suspect, arrivedAt: at};
}

describe('differential: admission', () => {
  it('starts the same requests as the naive queue, within its limits', () => {
    const property = fc.property(
      fc.integer({min: 1, max: 3}),
      fc.integer({min: 0, max: 4}),
      fc.array(step, {maxLength: 60}),
      (slots, queue, steps) => {
        const limits = {slots, queue, slowStartMs: 0};
        const real = createAdmission();
        const naive = new NaiveQueue(slots);
        let at = 0;
        for (const [
          i,
          {action, n, batch, suspect, allowedMs},
        ] of steps.entries()) {
          const running = naive.running[n % Math.max(1, naive.running.length)];
          const queued = naive.queue[n % Math.max(1, naive.queue.length)];
          switch (action) {
            case 'enqueue': {
              const deadlineAt = at + allowedMs;
              const request = {id: `a${i}`, batch, deadlineAt, suspect};
              const {refusal, displaced} = tryEnqueue(
                real,
                limits,
                DEFAULT_POLICY,
                createAdmitted(request, at),
                at,
              );
              if (displaced !== undefined) {
                // Interactive requests displace batch requests, and no others.
                expect(displaced.attempt.priority).to.equal('batch');
                expect(batch).to.equal(false);
                naive.remove(displaced.attempt.attemptId);
              }
              if (refusal === undefined) {
                naive.queue.push(request);
              } else {
                const isFree =
                  naive.running.length + naive.queue.length < slots;
                expect(isFree, 'refused although a slot is free').to.equal(
                  false,
                );
              }
              break;
            }
            case 'start': {
              const next = tryStartNext(real, limits, DEFAULT_POLICY, at);
              expect(next?.attempt.attemptId).to.equal(naive.startNext());
              break;
            }
            case 'end':
              if (running !== undefined) {
                const ended = releaseSlot(real, running.id, 'answered', at);
                expect(ended !== undefined).to.equal(naive.end(running.id));
              }
              break;
            case 'cancel':
              if (queued !== undefined) {
                expect(removeQueued(real, queued.id)).not.to.equal(undefined);
                naive.remove(queued.id);
              }
              break;
            case 'wait':
              at += n % 30;
              for (const {attempt} of removeExpired(real, DEFAULT_POLICY, at)) {
                naive.remove(attempt.attemptId);
              }
              for (const {deadlineAt, id} of naive.queue) {
                expect(deadlineAt - at, `time left for ${id}`).to.be.at.least(
                  1,
                );
              }
              break;
          }
          expect(real.running.size).to.equal(naive.running.length);
          expect(real.running.size).to.be.at.most(slots);
          expect(
            real.queue.map(({attempt}) => attempt.attemptId),
          ).to.have.members(naive.queue.map(({id}) => id));
          // Requests with a free slot are also queued until they are started.
          expect(real.queue.length).to.be.at.most(queue + slots);
        }
      },
    );
    fc.assert(property, getFuzzOptions('admission', 500));
  }).timeout(0);
});
