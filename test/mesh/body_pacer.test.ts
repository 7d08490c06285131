/** Replays downloads from one VM with a narrow connection to dozens of entries. */
import {BodyClaim, BodyPacer} from '../../src/mesh/body_pacer.js';
import {BodyTransfers} from '../../src/mesh/body_transfers.js';
import {MemoryBudget} from '../../src/proxy/memory_budget.js';
import {expect} from '../support/chai_setup.js';

const LINK_MBPS = 14;
const BYTES_PER_MS = (LINK_MBPS * 1_000) / 8;
const LINKS = 60;
const DOWNLOAD = Buffer.alloc(90_000, 7);
const SMALL_BYTES = 2_000;
const MESSAGE = Buffer.alloc(200);

const DOWNLOAD_CLAIM: BodyClaim = {priority: 2, nested: false, aimAt: Infinity};

/** A VM's connection: whatever the sockets of all links take leaves in order. */
class SharedConnection {
  now = 0;
  timers: Array<{readonly at: number; readonly callback: () => void}> = [];
  /** Transfers by link, in the order in which their last chunks were written. */
  readonly ended: string[] = [];
  readonly links: BodyTransfers[];
  readonly pacer: BodyPacer;
  readonly waitsMs: number[] = [];
  readonly budget = new MemoryBudget(1e9, 0);
  private freeAt = 0;
  /** Links whose readers take nothing. */
  readonly blocked = new Set<number>();

  constructor(mbps = LINK_MBPS) {
    this.pacer = new BodyPacer(
      () => mbps,
      waitedMs => this.waitsMs.push(waitedMs),
      {
        now: () => this.now,
        setTimer: (callback, ms) => {
          const timer = {at: this.now + ms, callback};
          this.timers.push(timer);
          return () => {
            this.timers = this.timers.filter(other => other !== timer);
          };
        },
      },
    );
    this.links = Array.from({length: LINKS}, (_, n) => this.createLink(n));
  }

  private createLink(n: number): BodyTransfers {
    return new BodyTransfers(
      {
        write: (frame, onFlushed) => {
          this.write(frame.kind === 'chunk' ? frame.body.length : 0);
          if (frame.kind === 'chunk' && frame.last) {
            this.ended.push(`${n}.${frame.transfer}`);
          }
          onFlushed?.();
        },
        getUnsentBytes: () => (this.blocked.has(n) ? 20_000 : 0),
      },
      this.pacer,
      this.budget,
    );
  }

  /** Writes bytes and returns when the last of them leaves, from now. */
  write(bytes: number): number {
    this.pacer.countWritten(bytes);
    this.freeAt = Math.max(this.freeAt, this.now) + bytes / BYTES_PER_MS;
    return this.freeAt - this.now;
  }

  /** Advances the clock; timers are late by some milliseconds. */
  advance(ms: number, lateMs = 2): void {
    for (const end = this.now + ms; this.now < end; this.now += 1) {
      const due = this.timers.filter(({at}) => at + lateMs <= this.now);
      this.timers = this.timers.filter(timer => !due.includes(timer));
      due.forEach(({callback}) => callback());
    }
  }

  download(link: number, claim = DOWNLOAD_CLAIM, key?: string): void {
    this.links[link].send(MESSAGE, DOWNLOAD, claim, key);
  }
}

describe('pacer of large bodies', () => {
  let vm: SharedConnection;

  beforeEach(() => {
    vm = new SharedConnection();
  });

  // Without it, a small answer waits behind the megabytes of all links.
  it('delays small messages by milliseconds while downloads exceed the bandwidth', () => {
    const intervalMs = DOWNLOAD.length / BYTES_PER_MS / 1.5;
    const delaysMs: number[] = [];
    let nextAt = 0;
    for (let sent = 0; vm.now < 4_000; vm.advance(5)) {
      for (; nextAt <= vm.now; nextAt += intervalMs) {
        vm.download(sent % LINKS);
        sent += 1;
      }
      if (vm.now % 50 === 0) {
        delaysMs.push(vm.write(SMALL_BYTES));
      }
    }
    expect(Math.max(...delaysMs)).to.be.below(40);
    expect(vm.pacer.countWaitingBytes()).to.be.above(1_000_000);
  });

  // A pacer that loses the time by which timers are late would halve the throughput.
  it('uses nine tenths of the bandwidth although timers are late', () => {
    for (let n = 0; n < LINKS; n += 1) {
      vm.download(n);
    }
    const before = vm.pacer.countWaitingBytes();
    vm.advance(2_000, 12);
    const sent = before - vm.pacer.countWaitingBytes();
    expect(sent / (2_000 * BYTES_PER_MS)).to.be.within(0.9, 1);
  });

  it('runs no timer while nothing waits, nor where the bandwidth is ample', () => {
    const fast = new SharedConnection(1_000);
    for (let n = 0; n < 20; n += 1) {
      fast.download(n);
    }
    expect(fast.ended).to.have.length(20);
    expect(fast.timers).to.deep.equal([]);
    vm.download(0);
    vm.advance(200);
    expect(vm.ended).to.deep.equal(['0.1']);
    expect(vm.timers).to.deep.equal([]);
  });

  it('sends by priority, nested first, then what can still arrive, then by turn', () => {
    vm.write(100_000);
    vm.download(1);
    vm.download(2, {...DOWNLOAD_CLAIM, aimAt: 20});
    vm.advance(1);
    vm.download(3);
    vm.download(4, {...DOWNLOAD_CLAIM, nested: true});
    vm.download(5, {...DOWNLOAD_CLAIM, priority: 1});
    vm.advance(1_000);
    expect(vm.ended).to.deep.equal(['5.1', '4.1', '1.1', '3.1', '2.1']);
  });

  // In order of arrival alone, an upload of many megabytes stops all downloads.
  it('sends a body before the rest of a much larger one that came shortly before', () => {
    vm.links[1].send(MESSAGE, Buffer.alloc(4_000_000), DOWNLOAD_CLAIM);
    vm.advance(100);
    vm.download(2);
    vm.advance(100);
    expect(vm.ended).to.deep.equal(['2.1']);
    vm.advance(2_500);
    expect(vm.ended).to.deep.equal(['2.1', '1.1']);
  });

  // A link of another process must neither stop others nor keep a timer running.
  it('passes over links whose readers are slow or which have closed', () => {
    vm.write(100_000);
    vm.blocked.add(1);
    vm.download(1);
    vm.download(2);
    vm.download(3);
    vm.links[3].close();
    vm.advance(1_000);
    expect(vm.ended).to.deep.equal(['2.1']);
    expect(vm.timers).to.deep.equal([]);
    vm.blocked.clear();
    vm.pacer.writeChunks();
    vm.advance(1_000);
    expect(vm.ended).to.deep.equal(['2.1', '1.1']);
  });

  it('drops a body that is discarded', () => {
    vm.write(100_000);
    vm.download(1, DOWNLOAD_CLAIM, 'a-1');
    vm.download(2, DOWNLOAD_CLAIM, 'a-2');
    expect(vm.budget.usedBytes).to.equal(2 * MESSAGE.length);
    vm.links[1].discard('a-1');
    vm.links[2].discard('a-2');
    expect(vm.budget.usedBytes).to.equal(0);
    expect(vm.timers).to.deep.equal([]);
    vm.advance(1_000);
    expect(vm.ended).to.deep.equal([]);
    expect(vm.pacer.countWaitingBytes()).to.equal(0);
  });

  it('reports how long bodies wait, and how many bytes by claim', () => {
    vm.download(1);
    vm.download(2, {...DOWNLOAD_CLAIM, priority: 1});
    vm.download(3, {...DOWNLOAD_CLAIM, aimAt: 10});
    const groups = vm.pacer
      .getWaiting()
      .map(({priority, missesAim}) => ({priority, missesAim}));
    expect(groups).to.deep.include.members([
      {priority: 1, missesAim: false},
      {priority: 2, missesAim: true},
    ]);
    vm.advance(1_000);
    expect(vm.waitsMs).to.have.length(3);
    expect(Math.max(...vm.waitsMs)).to.be.within(120, 180);
  });
});
