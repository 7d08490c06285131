/** Compares the key records of a key holder with a naive state table. */
import fc from 'fast-check';
import {OwnerFixture} from '../owner/owner_fixture.js';
import {expect} from '../support/chai_setup.js';
import {getFuzzOptions} from './fuzz_options.js';

type NaiveStatus =
  'absent' | 'queued' | 'running' | 'finished' | 'inDoubt' | 'closed' | 'moved';

interface NaiveRecord {
  status: NaiveStatus;
  attemptId: string;
  waiters: string[];
}

const KEYS = ['k1', 'k2', 'k3'];

/**
 * Reference implementation with one slot and one record for each key. Each
 * method returns the expected effects.
 */
class NaiveKeyHolder {
  readonly records = new Map<string, NaiveRecord>();
  queue: string[] = [];
  running: string | undefined;

  get(key: string): NaiveRecord {
    const record = this.records.get(key) ?? {
      status: 'absent',
      attemptId: '',
      waiters: [],
    };
    this.records.set(key, record);
    return record;
  }

  attempt(id: string, key: string): string[] {
    const record = this.get(key);
    switch (record.status) {
      case 'absent':
        Object.assign(record, {status: 'queued', attemptId: id});
        this.queue.push(key);
        return this.startNext();
      case 'running':
        record.waiters.push(id);
        return [];
      case 'finished':
        return [`${id}: answer`];
      case 'closed':
        return [`${id}: not-run`];
      default:
        return [`${id}: unknown`];
    }
  }

  /** Ends the run and reports its result to all attempts that wait for it. */
  end(status: 'finished' | 'inDoubt' | 'closed', result: string): string[] {
    const record = this.get(this.running ?? '');
    const reports = [record.attemptId, ...record.waiters].map(
      id => `${id}: ${result}`,
    );
    Object.assign(record, {status, waiters: []});
    this.running = undefined;
    return [...reports, ...this.startNext()];
  }

  /** Ends the run in doubt and refuses the queued requests. */
  crash(): string[] {
    const refused = this.queue.map(key => {
      const record = this.get(key);
      record.status = 'closed';
      return `${record.attemptId}: not-run`;
    });
    this.queue = [];
    return [...refused, ...this.end('inDoubt', 'unknown')];
  }

  cancel(key: string, id: string): string[] {
    const record = this.get(key);
    record.waiters = record.waiters.filter(other => other !== id);
    if (record.status === 'queued' && record.attemptId === id) {
      record.status = 'absent';
      this.queue = this.queue.filter(other => other !== key);
    }
    return [];
  }

  close(key: string, cause: 'give-up' | 'moved'): string[] {
    const record = this.get(key);
    const {status, attemptId} = record;
    switch (status) {
      case 'absent':
      case 'queued': {
        record.status = cause === 'moved' ? 'moved' : 'closed';
        this.queue = this.queue.filter(other => other !== key);
        const outcome = cause === 'moved' ? 'unknown' : 'not-run';
        const reported =
          status === 'queued' ? [`${attemptId}: ${outcome}`] : [];
        return [...reported, 'verdict never-ran'];
      }
      case 'moved':
      case 'inDoubt':
        return ['verdict in-doubt'];
      default:
        return [`verdict ${status}`];
    }
  }

  private startNext(): string[] {
    const key = this.running === undefined ? this.queue.shift() : undefined;
    if (key === undefined) {
      return [];
    }
    const record = this.get(key);
    record.status = 'running';
    this.running = key;
    return [`dispatch ${record.attemptId}`];
  }
}

const step = fc.record({
  action: fc.constantFrom(
    ...(['attempt', 'attempt', 'attempt', 'answer', 'connect'] as const),
    ...(['reset', 'truncated', 'cancel', 'give-up', 'moved'] as const),
  ),
  key: fc.constantFrom(...KEYS),
  n: fc.nat(20),
});

/** Removes the parts of an answer or refusal that callers do not rely on. */
function simplify(line: string): string {
  return line
    .replace(/: answer \d+$/, ': answer')
    .replace(/: \w+ \(([a-z-]+), \d+\)$/, ': $1');
}

describe('differential: key records', () => {
  it('has the same effects as the naive state table', () => {
    const property = fc.property(fc.array(step, {maxLength: 60}), steps => {
      const real = new OwnerFixture(['desk-1'], {slots: 1, queue: 99});
      const naive = new NaiveKeyHolder();
      for (const [i, {action, key, n}] of steps.entries()) {
        const id = `a${i}`;
        const running = naive.get(naive.running ?? '').attemptId;
        let seen: string[] = [];
        let expected: string[] = [];
        switch (action) {
          case 'attempt': {
            const options = {key, fingerprint: key, timeoutMs: 60_000};
            seen = real.attempt(id, options);
            expected = naive.attempt(id, key);
            break;
          }
          case 'cancel':
            seen = real.cancel(`a${n}`);
            KEYS.forEach(other => naive.cancel(other, `a${n}`));
            break;
          case 'give-up':
          case 'moved':
            seen = real.close(key, id, action);
            expected = naive.close(key, action);
            break;
          default:
            if (naive.running === undefined) {
              break;
            }
            if (action === 'answer') {
              seen = real.answer(running);
              expected = naive.end('finished', 'answer');
            } else if (action === 'reset') {
              seen = real.fail(running, action);
              expected = naive.crash();
              // Ends the pause of the owner after a crash before the next step.
              real.at += 200;
            } else {
              seen = real.fail(running, action);
              expected =
                action === 'connect'
                  ? naive.end('closed', 'not-run')
                  : naive.end('inDoubt', 'unknown');
            }
        }
        expect(seen.map(simplify), `step ${i}`).to.have.members(expected);
      }
    });
    fc.assert(property, getFuzzOptions('key records', 400));
  }).timeout(0);
});
