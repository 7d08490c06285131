/** Limits on what one process holds for its callers, peers and upstreams. */
import {BodyBuffer} from '../../src/proxy/body_buffer.js';
import {MemoryBudget, MemoryEvent} from '../../src/proxy/memory_budget.js';
import {MemoryHold} from '../../src/proxy/memory_hold.js';
import {waitUntil} from '../../src/standins/harness/wait_for.js';
import {expect} from '../support/chai_setup.js';

const KIB = 1_024;
const MIB = 1_048_576;

/** Longer than a transfer may be without progress. */
const STALL_MS = 2_000;

class Fixture {
  nowMs = 0;
  readonly events: MemoryEvent[] = [];
  readonly budget: MemoryBudget;

  constructor(maxBytes = 8 * MIB, keptBytes = MIB) {
    this.budget = new MemoryBudget(
      maxBytes,
      keptBytes,
      event => this.events.push(event),
      () => this.nowMs,
    );
  }

  /** Adds a transfer that holds bytes and records its end. */
  addTransfer(heldBytes: number, evicted: number[]) {
    const {budget} = this;
    budget.add(heldBytes);
    const transfer = {
      heldBytes,
      progress: 0,
      getProgress: () => transfer.progress,
      evict: () => {
        evicted.push(heldBytes);
        budget.release(heldBytes);
      },
    };
    budget.addHolder(transfer);
    return transfer;
  }
}

describe('memory budget', () => {
  it('keeps room for ordinary requests', () => {
    const {budget} = new Fixture();
    expect(budget.tryReserve(7 * MIB)).to.equal(true);
    expect(budget.tryReserve(128 * KIB)).to.equal(false);
    expect(budget.tryReserve(64 * KIB)).to.equal(true);
  });

  it('gives up stalled transfers for large requests, the largest first', () => {
    const fixture = new Fixture();
    const evicted: number[] = [];
    fixture.addTransfer(2 * MIB, evicted);
    fixture.addTransfer(MIB, evicted);
    const active = fixture.addTransfer(3 * MIB, evicted);
    expect(fixture.budget.tryReserve(2 * MIB)).to.equal(false);
    fixture.nowMs += STALL_MS;
    active.progress += 1;
    expect(fixture.budget.tryReserve(2 * MIB)).to.equal(true);
    expect(evicted).to.deep.equal([2 * MIB]);
    expect(fixture.budget.usedBytes).to.equal(6 * MIB);
  });

  it('gives up any transfer for ordinary requests', () => {
    const fixture = new Fixture();
    const evicted: number[] = [];
    fixture.addTransfer(5 * MIB, evicted);
    fixture.addTransfer(3 * MIB, evicted);
    expect(fixture.budget.tryReserve(64 * KIB)).to.equal(true);
    expect(evicted).to.deep.equal([5 * MIB]);
  });

  it('counts buffers until they are collected, and collects where it is full', async () => {
    const {budget, events} = new Fixture(64 * MIB, 0);
    const receive = () => {
      const limits = {maxBytes: 32 * MIB, announcedBytes: 32 * MIB};
      const buffer = new BodyBuffer(budget, limits);
      for (let n = 0; n < 32; n += 1) {
        expect(buffer.append(Buffer.alloc(MIB, 7))).to.equal('ok');
      }
      return buffer.finish().length;
    };
    expect(receive()).to.equal(32 * MIB);
    expect(receive()).to.equal(32 * MIB);
    expect(budget.usedBytes).to.equal(64 * MIB);
    // Turns in which nothing refers to the buffers any more.
    await waitUntil('a reservation', () => budget.reserve(32 * MIB));
    expect(events).to.include('collected');
  });

  // Guards against refusals of ordinary requests until the runtime collects by itself.
  it('collects where an ordinary request is refused', async () => {
    const {budget, events} = new Fixture(8 * MIB, MIB);
    const limits = {maxBytes: MIB, announcedBytes: MIB};
    const buffer = new BodyBuffer(budget, limits);
    expect(buffer.append(Buffer.alloc(MIB))).to.equal('ok');
    buffer.finish();
    budget.add(7 * MIB);
    expect(budget.tryReserve(16 * KIB)).to.equal(false);
    await waitUntil('a collection', async () => events.includes('collected'));
    await waitUntil('a reservation', async () => budget.tryReserve(16 * KIB));
  });

  it('releases what a request holds, once', () => {
    const {budget} = new Fixture();
    const hold = new MemoryHold(budget);
    hold.tryAdd(KIB);
    hold.add(9 * MIB);
    expect(hold.tryAdd(KIB)).to.equal(false);
    hold.release();
    hold.release();
    expect(budget.usedBytes).to.equal(0);
  });
});

describe('body buffer', () => {
  const SIZES: Readonly<Record<string, [bytes: number, chunk: number]>> = {
    'single bytes': [70_000, 1],
    'small chunks': [3 * MIB + 5, 4_099],
    'large chunks': [3 * MIB + 5, 700_001],
    'one chunk': [100, 100],
  };
  for (const [name, [bytes, chunkBytes]] of Object.entries(SIZES)) {
    for (const isAnnounced of [true, false]) {
      const form = isAnnounced ? 'announced' : 'not announced';
      it(`assembles ${name}, ${form}, and holds about its size`, () => {
        const {budget} = new Fixture();
        const announcedBytes = isAnnounced ? bytes : undefined;
        const limits = {maxBytes: 4 * MIB, announcedBytes};
        const buffer = new BodyBuffer(budget, limits);
        const whole = Buffer.alloc(bytes);
        for (let at = 0; at < bytes; at += 1) {
          whole[at] = at % 251;
        }
        for (let at = 0; at < bytes; at += chunkBytes) {
          const chunk = whole.subarray(at, at + chunkBytes);
          expect(buffer.append(chunk)).to.equal('ok');
        }
        expect(budget.usedBytes).to.be.within(
          bytes,
          isAnnounced ? bytes : Math.max(4_096, 2 * bytes),
        );
        expect(whole.equals(buffer.finish())).to.equal(true);
      });
    }
  }

  // Guards against a count that falls below what is held, so that nothing is refused.
  it('counts nothing twice where it gives itself up for its own growth', () => {
    const fixture = new Fixture(8 * MIB, MIB);
    const {budget} = fixture;
    const buffer = new BodyBuffer(budget, {maxBytes: 64 * MIB});
    expect(buffer.append(Buffer.alloc(6 * MIB))).to.equal('ok');
    budget.addHolder({
      heldBytes: buffer.heldBytes,
      getProgress: () => buffer.length,
      evict: () => buffer.discard(),
    });
    fixture.nowMs += STALL_MS;
    expect(buffer.append(Buffer.alloc(2 * MIB))).to.equal('no-memory');
    expect(budget.usedBytes).to.equal(0);
  });

  it('holds nothing for a body that is too large or for which there is no room', () => {
    const {budget} = new Fixture(2 * MIB, MIB);
    const small = new BodyBuffer(budget, {maxBytes: 10});
    expect(small.append(Buffer.alloc(11))).to.equal('too-large');
    const large = new BodyBuffer(budget, {maxBytes: 8 * MIB});
    expect(large.append(Buffer.alloc(512 * KIB))).to.equal('ok');
    expect(large.append(Buffer.alloc(2 * MIB))).to.equal('no-memory');
    expect(large.append(Buffer.alloc(1))).to.equal('no-memory');
    expect(budget.usedBytes).to.equal(0);
  });
});
