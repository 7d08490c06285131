/** Attempts outlive the link on which they were sent. */
import {connect, createServer, Server, Socket} from 'node:net';
import {once} from 'node:events';
import {AddressInfo} from 'node:net';
import {MeshEventBody} from '../../src/core/mesh/mesh_types.js';
import {LinkMessage} from '../../src/model/mesh.js';
import {AttemptExchange} from '../../src/mesh/attempt_exchange.js';
import {LinkHub} from '../../src/mesh/link_hub.js';
import {MessageCodec} from '../../src/mesh/message_codec.js';
import {expect} from '../support/chai_setup.js';
import {createAttempt, createHello} from './mesh_fixture.js';

const OUTBOUND = {
  method: 'POST',
  path: '/charge/1',
  headers: {},
  body: Buffer.from('order'),
};

/** One proxy's end of the links, with the events that it would post. */
class End {
  readonly events: MeshEventBody[] = [];
  readonly hub: LinkHub;
  readonly exchange: AttemptExchange;
  private wake: () => void = () => undefined;

  constructor(
    private readonly address: string,
    incarnation = 1,
  ) {
    this.hub = new LinkHub(
      {
        createHello: () => createHello({address: this.address, incarnation}),
        onClose: (_address, link) => this.exchange.takeClosed(link),
        onMessage: (link, message: LinkMessage, body) =>
          this.exchange.takeMessage(link, message, body),
        onBadFrame: detail => {
          throw new Error(detail);
        },
      },
      new MessageCodec([]),
      () => performance.now(),
    );
    this.exchange = new AttemptExchange(this.hub, event => {
      this.events.push(event);
      this.wake();
    });
  }

  async next(kind: MeshEventBody['kind']): Promise<MeshEventBody> {
    for (;;) {
      const found = this.events.find(event => event.kind === kind);
      if (found !== undefined) {
        return found;
      }
      await new Promise<void>(resolve => (this.wake = resolve));
    }
  }
}

/** Passes connections on to an owner, until they are cut. */
class Passage {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  /** Bytes from entries are read and lost. */
  swallows = false;

  constructor(private readonly getPort: () => number) {
    this.server = createServer(entry => {
      const owner = connect(this.getPort(), '127.0.0.1');
      this.sockets.add(entry).add(owner);
      entry.on('data', data => {
        if (!this.swallows) {
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

  cut(): void {
    this.sockets.forEach(socket => socket.destroy());
    this.sockets.clear();
  }

  stop(): void {
    this.cut();
    this.server.close();
  }
}

describe('attempt exchange', () => {
  let owner: End;
  let entry: End;
  let passage: Passage;
  let address: string;

  beforeEach(async () => {
    passage = new Passage(() => owner.hub.port);
    address = await passage.start();
    owner = new End(address);
    entry = new End('127.0.0.1:1');
    await owner.hub.listen('127.0.0.1:0');
  });

  afterEach(() => {
    entry.hub.close();
    owner.hub.close();
    passage.stop();
  });

  const attempt = createAttempt({idempotent: false});
  const {attemptId} = attempt;
  const body = Buffer.from('receipt');
  const result = {kind: 'answer', status: 200, headers: {}, body} as const;

  function describeEnd(event: MeshEventBody): string {
    if (event.kind !== 'attemptEnded') {
      return event.kind;
    }
    const {result: ended} = event.outcome;
    return ended.kind === 'answer'
      ? Buffer.from(ended.body).toString()
      : `${ended.reason} ${ended.outcome}`;
  }

  it('brings the answer over a new link when the first one is cut', async () => {
    void entry.exchange.send(address, attempt, OUTBOUND);
    await owner.next('attemptArrived');
    passage.cut();
    owner.exchange.finish(attemptId, {result, reachedUpstream: true});
    expect(describeEnd(await entry.next('attemptEnded'))).to.equal('receipt');
    const arrived = owner.events.filter(e => e.kind === 'attemptArrived');
    expect(arrived.length).to.equal(1);
  });

  it('says not run of what never arrived, and never takes it later', async () => {
    await entry.hub.open(address);
    passage.swallows = true;
    await entry.exchange.send(address, attempt, OUTBOUND);
    passage.cut();
    passage.swallows = false;
    const ended = describeEnd(await entry.next('attemptEnded'));
    expect(ended).to.equal('upstream_down not-run');
    const link = await entry.hub.open(address);
    const {method, path, headers} = OUTBOUND;
    link?.send({kind: 'attempt', attempt, method, path, headers});
    const other = createAttempt({attemptId: 'a-2'});
    link?.send({kind: 'attempt', attempt: other, method, path, headers});
    await owner.next('attemptArrived');
    const arrived = owner.events.filter(e => e.kind === 'attemptArrived');
    expect(arrived).to.deep.equal([{kind: 'attemptArrived', attempt: other}]);
  });

  it('does not know what an earlier process of the owner has run', async () => {
    void entry.exchange.send(address, attempt, OUTBOUND);
    await owner.next('attemptArrived');
    const earlier = owner;
    owner = new End(address, 2);
    await owner.hub.listen('127.0.0.1:0');
    earlier.hub.close();
    passage.cut();
    expect(await entry.next('attemptLost')).to.deep.equal({
      kind: 'attemptLost',
      attemptId,
      sent: true,
    });
  });

  it('tells that nothing was sent where no owner listens', async () => {
    owner.hub.close();
    passage.stop();
    await entry.exchange.send(address, attempt, OUTBOUND);
    expect(await entry.next('attemptLost')).to.deep.equal({
      kind: 'attemptLost',
      attemptId,
      sent: false,
    });
  });

  it('stops the work of an entry that does not come back', async () => {
    void entry.exchange.send(address, attempt, OUTBOUND);
    await owner.next('attemptArrived');
    entry.hub.close();
    expect(await owner.next('attemptCancelled')).to.deep.equal({
      kind: 'attemptCancelled',
      attemptId,
    });
  });
});
