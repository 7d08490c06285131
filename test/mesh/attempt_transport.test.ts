/** Outcomes of attempts whose link breaks. */
import {connect, createServer, Server, Socket} from 'node:net';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {MAX_UNCONFIRMED_MS} from '../../src/core/mesh/caller_presence.js';
import {MeshEventBody} from '../../src/core/mesh/mesh_types.js';
import {createRefusal} from '../../src/core/refusals.js';
import {LinkMessage} from '../../src/model/mesh.js';
import {AttemptTransport} from '../../src/mesh/attempt_transport.js';
import {BodyGrants} from '../../src/mesh/body_grants.js';
import {BodyPacer} from '../../src/mesh/body_pacer.js';
import {LinkManager} from '../../src/mesh/link_manager.js';
import {MessageCodec} from '../../src/mesh/message_codec.js';
import {MemoryBudget} from '../../src/proxy/memory_budget.js';
import {expect} from '../support/chai_setup.js';
import {NO_DELAYS, createAttempt, createHello} from './mesh_fixture.js';

const OUTBOUND = {
  method: 'POST',
  path: '/charge/1',
  headers: {},
  body: Buffer.from('order'),
};

/** More than the buffers of the sockets take, so that a part remains unsent. */
const LARGE_UPLOAD = Buffer.alloc(32 * 1_048_576, 7);

const MAX_HELD_BYTES = 100e6;

/** Least time that the test's upload takes. */
const UPLOAD_MS = 100;

/** Interval of the liveness checks; ticks are at most this far apart. */
const LINK_CHECK_MS = 120;

/** The links of one proxy, with a record of the events posted to its core. */
class TestProxy {
  readonly events: MeshEventBody[] = [];
  readonly links: LinkManager;
  readonly attempts: AttemptTransport;
  readonly pacer: BodyPacer;
  readonly budget = new MemoryBudget(MAX_HELD_BYTES, 0);
  private notifyWaiter: () => void = () => undefined;

  constructor(
    private readonly address: string,
    incarnation = 1,
    linkMbps = 10_000,
  ) {
    this.pacer = new BodyPacer(() => linkMbps);
    this.links = new LinkManager(
      {
        createHello: () => createHello({address: this.address, incarnation}),
        onClose: (_address, link) => this.attempts.handleLinkClosed(link),
        onMessage: (link, message: LinkMessage, body, ageMs) =>
          this.attempts.handleMessage(link, message, body, ageMs),
        onBodyRefused: (link, message, reason) =>
          this.attempts.handleBodyRefused(link, message, reason),
        onBodyOffered: (link, message, ageMs, arrival) =>
          this.attempts.handleOffer(link, message, ageMs, arrival),
        onConfirmed: () => undefined,
        onBadFrame: detail => {
          throw new Error(detail);
        },
      },
      new MessageCodec([]),
      () => performance.now(),
      this.pacer,
      NO_DELAYS,
      this.budget,
      new BodyGrants(() => linkMbps),
    );
    // In a proxy, ticks do this.
    setInterval(() => this.links.checkIfDue(), LINK_CHECK_MS).unref();
    this.attempts = new AttemptTransport(
      this.links,
      event => {
        this.events.push(event);
        this.notifyWaiter();
      },
      NO_DELAYS,
      this.budget,
    );
  }

  /** Ids of the attempts that have arrived. */
  get arrivedIds(): string[] {
    return this.events.flatMap(event =>
      event.kind === 'attemptArrived' ? [event.attempt.attemptId] : [],
    );
  }

  async waitForEvent(kind: MeshEventBody['kind']): Promise<MeshEventBody> {
    for (;;) {
      const found = this.events.find(event => event.kind === kind);
      if (found !== undefined) {
        return found;
      }
      await new Promise<void>(resolve => (this.notifyWaiter = resolve));
    }
  }
}

/** Relays TCP connections to an owner; tests can close them. */
class TcpRelay {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  /** Whether data from entries is discarded. */
  discardsRequests = false;

  constructor(private readonly getPort: () => number) {
    this.server = createServer(entry => {
      const owner = connect(this.getPort(), '127.0.0.1');
      this.sockets.add(entry).add(owner);
      entry.on('data', data => {
        if (!this.discardsRequests) {
          owner.write(data);
        }
      });
      owner.on('data', data => entry.write(data));
      for (const socket of [entry, owner]) {
        socket.on('error', () => undefined);
        socket.on('close', () => [entry, owner].forEach(s => s.destroy()));
      }
    });
  }

  async start(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  closeConnections(): void {
    this.sockets.forEach(socket => socket.destroy());
    this.sockets.clear();
  }

  resume(): void {
    this.sockets.forEach(socket => socket.resume());
  }

  /** Reads nothing more, so that the buffers of the sockets fill. */
  pause(): void {
    this.sockets.forEach(socket => socket.pause());
  }

  stop(): void {
    this.closeConnections();
    this.server.close();
  }
}

describe('attempt transport', () => {
  let owner: TestProxy;
  let entry: TestProxy;
  let relay: TcpRelay;
  let address: string;

  beforeEach(async () => {
    relay = new TcpRelay(() => owner.links.port);
    address = await relay.start();
    owner = new TestProxy(address);
    entry = new TestProxy('127.0.0.1:1');
    await owner.links.listen('127.0.0.1:0');
  });

  afterEach(() => {
    void entry.links.close();
    void owner.links.close();
    relay.stop();
  });

  const attempt = createAttempt({idempotent: false});
  const {attemptId} = attempt;
  const body = Buffer.from('receipt');
  const result = {kind: 'answer', status: 200, headers: {}, body} as const;

  function describeOutcome(event: MeshEventBody): string {
    if (event.kind !== 'attemptEnded') {
      return event.kind;
    }
    const {result: ended} = event.outcome;
    return ended.kind === 'answer'
      ? Buffer.from(ended.body).toString()
      : `${ended.reason} ${ended.outcome}`;
  }

  it('returns the answer over a new link after the first one breaks', async () => {
    void entry.attempts.send(address, attempt, OUTBOUND);
    await owner.waitForEvent('attemptArrived');
    relay.closeConnections();
    owner.attempts.finish(attemptId, {result, reachedUpstream: true});
    expect(describeOutcome(await entry.waitForEvent('attemptEnded'))).to.equal(
      'receipt',
    );
    const arrived = owner.events.filter(e => e.kind === 'attemptArrived');
    expect(arrived.length).to.equal(1);
  });

  it('reports an attempt that never arrived as not run, and ignores it later', async () => {
    await entry.links.open(address);
    relay.discardsRequests = true;
    await entry.attempts.send(address, attempt, OUTBOUND);
    relay.closeConnections();
    relay.discardsRequests = false;
    const ended = describeOutcome(await entry.waitForEvent('attemptEnded'));
    expect(ended).to.equal('upstream_down not-run');
    const link = await entry.links.open(address);
    const {method, path, headers} = OUTBOUND;
    link?.send({kind: 'attempt', attempt, method, path, headers});
    const other = createAttempt({attemptId: 'a-2'});
    link?.send({kind: 'attempt', attempt: other, method, path, headers});
    await owner.waitForEvent('attemptArrived');
    const arrived = owner.events.flatMap(e =>
      e.kind === 'attemptArrived' ? [e.attempt] : [],
    );
    expect(arrived).to.deep.equal([other]);
  });

  it('reports an attempt as lost after the owner restarts', async () => {
    void entry.attempts.send(address, attempt, OUTBOUND);
    await owner.waitForEvent('attemptArrived');
    const earlierOwner = owner;
    owner = new TestProxy(address, 2);
    await owner.links.listen('127.0.0.1:0');
    void earlierOwner.links.close();
    relay.closeConnections();
    expect(await entry.waitForEvent('attemptLost')).to.deep.equal({
      kind: 'attemptLost',
      attemptId,
      sent: true,
    });
  });

  it('reports that nothing was sent if no owner listens', async () => {
    void owner.links.close();
    relay.stop();
    await entry.attempts.send(address, attempt, OUTBOUND);
    expect(await entry.waitForEvent('attemptLost')).to.deep.equal({
      kind: 'attemptLost',
      attemptId,
      sent: false,
    });
  });

  it('reports an upload as not sent if the link breaks before its end', async () => {
    await entry.links.open(address);
    relay.pause();
    const outbound = {...OUTBOUND, body: LARGE_UPLOAD};
    await entry.attempts.send(address, attempt, outbound);
    relay.closeConnections();
    expect(await entry.waitForEvent('attemptLost')).to.deep.equal({
      kind: 'attemptLost',
      attemptId,
      sent: false,
    });
  });

  it('cancels an attempt whose caller leaves while its link is broken', async () => {
    void entry.attempts.send(address, attempt, OUTBOUND);
    await owner.waitForEvent('attemptArrived');
    const broken = entry.links.find(address);
    broken?.close();
    entry.attempts.cancel(attemptId);
    const other = createAttempt({attemptId: 'a-2'});
    await entry.attempts.send(address, other, OUTBOUND);
    while (owner.events.length < 3) {
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(owner.events.slice(1).map(({kind}) => kind)).to.deep.equal([
      'attemptCancelled',
      'attemptArrived',
    ]);
  });

  it('sends nothing for a caller that leaves while a link is opened', async () => {
    const sending = entry.attempts.send(address, attempt, OUTBOUND);
    entry.attempts.cancel(attemptId);
    await sending;
    const other = createAttempt({attemptId: 'a-2'});
    await entry.attempts.send(address, other, OUTBOUND);
    await owner.waitForEvent('attemptArrived');
    expect(owner.arrivedIds).to.deep.equal(['a-2']);
  });

  it('never delivers an upload whose caller leaves before its end', async () => {
    await entry.links.open(address);
    relay.pause();
    const outbound = {...OUTBOUND, body: LARGE_UPLOAD};
    await entry.attempts.send(address, attempt, outbound);
    entry.attempts.cancel(attemptId);
    relay.resume();
    const other = createAttempt({attemptId: 'a-2'});
    await entry.attempts.send(address, other, OUTBOUND);
    await owner.waitForEvent('attemptArrived');
    expect(owner.arrivedIds).to.deep.equal(['a-2']);
  });

  it('counts the time that an upload takes, though its caller is there', async () => {
    void entry.links.close();
    entry = new TestProxy('127.0.0.1:1', 1, 2);
    const outbound = {...OUTBOUND, body: Buffer.alloc(60_000, 7)};
    const startedAt = performance.now();
    void entry.attempts.send(address, attempt, outbound);
    const event = await owner.waitForEvent('attemptArrived');
    const tookMs = performance.now() - startedAt;
    assert(event.kind === 'attemptArrived');
    const {ageMs = 0, unconfirmedMs = Infinity} = event;
    // The first chunks leave at once, and the rest at 2 Mbit/s.
    expect(ageMs).to.be.within(UPLOAD_MS, tookMs);
    expect(unconfirmedMs).to.be.below(UPLOAD_MS / 2);
  });

  it('confirms a caller over the new link after a resume, not before', async () => {
    void entry.attempts.send(address, attempt, OUTBOUND);
    await owner.waitForEvent('attemptArrived');
    const getUnconfirmedMs = () =>
      owner.attempts.confirmCallers([attemptId]).get(attemptId) ?? Infinity;
    expect(getUnconfirmedMs()).to.be.below(MAX_UNCONFIRMED_MS);
    relay.discardsRequests = true;
    await delay(MAX_UNCONFIRMED_MS + 50);
    expect(getUnconfirmedMs()).to.be.above(MAX_UNCONFIRMED_MS);
    relay.discardsRequests = false;
    relay.closeConnections();
    await delay(100);
    getUnconfirmedMs();
    await delay(50);
    expect(getUnconfirmedMs()).to.be.below(MAX_UNCONFIRMED_MS);
  });

  // It would take the bandwidth of answers that somebody waits for.
  it('drops the rest of an answer whose entry has cancelled', async () => {
    void owner.links.close();
    owner = new TestProxy(address, 2, 0.1);
    await owner.links.listen('127.0.0.1:0');
    void entry.attempts.send(address, attempt, OUTBOUND);
    await owner.waitForEvent('attemptArrived');
    const large = {...result, body: Buffer.alloc(90_000)};
    owner.attempts.finish(attemptId, {result: large, reachedUpstream: true});
    expect(owner.pacer.countWaitingBytes()).to.be.above(60_000);
    entry.attempts.cancel(attemptId);
    const other = createAttempt({attemptId: 'a-2'});
    await entry.attempts.send(address, other, OUTBOUND);
    while (owner.events.length < 2) {
      await new Promise(resolve => setImmediate(resolve));
    }
    // Messages arrive in order, so the cancellation was handled before.
    expect(owner.pacer.countWaitingBytes()).to.equal(0);
  });

  it('never runs an upload for which there was no memory, and stops sending it', async () => {
    void entry.links.close();
    entry = new TestProxy('127.0.0.1:1', 1, 2);
    owner.budget.add(MAX_HELD_BYTES);
    const outbound = {...OUTBOUND, body: Buffer.alloc(1_000_000, 7)};
    void entry.attempts.send(address, attempt, outbound);
    const event = await owner.waitForEvent('attemptArrived');
    expect(event).to.include({unreceived: 'memory_full'});
    const refusal = createRefusal('memory_full', 500);
    owner.attempts.finish(attemptId, {result: refusal, reachedUpstream: false});
    expect(describeOutcome(await entry.waitForEvent('attemptEnded'))).to.equal(
      'memory_full not-run',
    );
    expect(entry.pacer.countWaitingBytes()).to.equal(0);
    owner.budget.release(MAX_HELD_BYTES);
    const link = entry.links.find(address);
    const {method, path, headers} = OUTBOUND;
    link?.send({kind: 'attempt', attempt, method, path, headers});
    const other = createAttempt({attemptId: 'a-2'});
    await entry.attempts.send(address, other, OUTBOUND);
    while (!owner.arrivedIds.includes('a-2')) {
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(owner.arrivedIds).to.deep.equal([attemptId, 'a-2']);
  });

  it('refuses an answer for which the entry has no memory, and no other', async () => {
    const other = createAttempt({attemptId: 'a-2'});
    await entry.attempts.send(address, attempt, OUTBOUND);
    await entry.attempts.send(address, other, OUTBOUND);
    while (owner.events.length < 2) {
      await new Promise(resolve => setImmediate(resolve));
    }
    entry.budget.add(MAX_HELD_BYTES);
    const large = {...result, body: Buffer.alloc(200_000)};
    owner.attempts.finish(attemptId, {result: large, reachedUpstream: true});
    owner.attempts.finish('a-2', {result, reachedUpstream: true});
    while (entry.events.length < 2) {
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(entry.events.map(describeOutcome).sort()).to.deep.equal([
      'answer_too_large unknown',
      'receipt',
    ]);
  });

  it('sends a large answer again after its link broke halfway', async () => {
    void owner.links.close();
    owner = new TestProxy(address, 2, 100);
    await owner.links.listen('127.0.0.1:0');
    void entry.attempts.send(address, attempt, OUTBOUND);
    await owner.waitForEvent('attemptArrived');
    const large = {...result, body: Buffer.alloc(2_000_000, 'x')};
    owner.attempts.finish(attemptId, {result: large, reachedUpstream: true});
    relay.closeConnections();
    expect(describeOutcome(await entry.waitForEvent('attemptEnded'))).to.equal(
      'x'.repeat(2_000_000),
    );
  });

  it('counts a request until its attempt ends', async () => {
    const outbound = {...OUTBOUND, body: Buffer.alloc(50_000)};
    void entry.attempts.send(address, attempt, outbound);
    await owner.waitForEvent('attemptArrived');
    expect(owner.budget.usedBytes).to.be.within(50_000, 53_000);
    owner.attempts.finish(attemptId, {result, reachedUpstream: true});
    expect(owner.budget.usedBytes).to.be.below(3_000);
  });

  it('cancels the attempt of an entry that does not reconnect', async () => {
    void entry.attempts.send(address, attempt, OUTBOUND);
    await owner.waitForEvent('attemptArrived');
    void entry.links.close();
    expect(await owner.waitForEvent('attemptCancelled')).to.deep.equal({
      kind: 'attemptCancelled',
      attemptId,
    });
  });
});
