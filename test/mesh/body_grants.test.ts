/**
 * Bodies that the entries of a fleet send to an owner behind a narrow connection, at the
 * same time.
 */
import {Duplex} from 'node:stream';
import {BodyGrants} from '../../src/mesh/body_grants.js';
import {Link, LinkHandlers} from '../../src/mesh/link.js';
import {LinkMessage} from '../../src/model/mesh.js';
import {expect} from '../support/chai_setup.js';
import {createTestLink} from './link_fixture.js';
import {createAttempt} from './mesh_fixture.js';

const ENTRIES = 20;
const UPLOAD_BYTES = 60_000;
const LINK_MBPS = 5;

/** Time of the connection that may wait in front of it; half of what callers notice. */
const MAX_QUEUE_MS = 150;
const MAX_QUEUED_BYTES = (MAX_QUEUE_MS * LINK_MBPS * 1_000) / 8;

/** One end of a connection; its peer reads what the test lets it. */
class End extends Duplex {
  peer?: End;

  /** @param queue - Holds what is written until the test passes it on; absent: nothing is held. */
  constructor(private readonly queue?: Array<() => void>) {
    super({highWaterMark: 1_000_000});
  }

  /** Bytes that were written and have not been passed on. */
  static queuedBytes = 0;

  setNoDelay(): this {
    return this;
  }

  override _read(): void {}

  override _write(bytes: Buffer, _encoding: string, done: () => void): void {
    if (this.queue === undefined) {
      this.peer?.push(bytes);
    } else {
      End.queuedBytes += bytes.length;
      this.queue.push(() => {
        End.queuedBytes -= bytes.length;
        this.peer?.push(bytes);
      });
    }
    done();
  }
}

describe('uploads of many entries to one owner', () => {
  let now: number;
  let queue: Array<() => void>;
  let received: string[];
  let refused: string[];

  function createLink(
    socket: End,
    grants?: BodyGrants,
    handlers?: Partial<LinkHandlers>,
  ): Link {
    return createTestLink(socket, () => now, handlers, grants);
  }

  function createUpload(attemptId: string): LinkMessage {
    const attempt = createAttempt({attemptId, aimMs: 900, timeoutMs: 3_000});
    const path = '/upload/1';
    return {kind: 'attempt', attempt, method: 'POST', path, headers: {}};
  }

  function getId(message: LinkMessage): string {
    return message.kind === 'attempt'
      ? message.attempt.attemptId
      : message.kind;
  }

  let grants: BodyGrants;
  let entries: Link[];

  beforeEach(() => {
    now = 0;
    queue = [];
    End.queuedBytes = 0;
    received = [];
    refused = [];
    grants = new BodyGrants(
      () => LINK_MBPS,
      () => now,
    );
    entries = Array.from({length: ENTRIES}, () => {
      const near = new End(queue);
      const far = new End();
      near.peer = far;
      far.peer = near;
      createLink(far, grants, {
        onMessage: (_link, message) => received.push(getId(message)),
        onBodyRefused: (_link, message, reason) =>
          refused.push(`${getId(message)} ${reason}`),
      });
      return createLink(near);
    });
  });

  async function settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
  }

  /** Passes on what waits in front of the connection; returns the most bytes seen. */
  async function passAll(): Promise<number> {
    let most = 0;
    await settle();
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      most = Math.max(most, End.queuedBytes);
      next();
      await settle();
    }
    return most;
  }

  /** Lets all entries offer an upload, and the owner grant what it may. */
  async function offerAll(): Promise<void> {
    const body = Buffer.alloc(UPLOAD_BYTES);
    entries.forEach((entry, n) => entry.send(createUpload(`a-${n}`), body));
    await settle();
    queue.splice(0, ENTRIES).forEach(pass => pass());
    await settle();
  }

  // Guards against SHORT: small messages wait behind the bodies of all entries, so that
  // owners get no news of their callers in time and run nothing.
  it('do not fill its connection, and arrive whole', async () => {
    entries.forEach((entry, n) =>
      entry.send(
        createUpload(`a-${n}`),
        Buffer.alloc(UPLOAD_BYTES, n),
        `a-${n}`,
      ),
    );
    expect(await passAll()).to.be.below(MAX_QUEUED_BYTES);
    expect(received).to.have.lengthOf(ENTRIES);
    expect(grants.getWaitingMs()).to.equal(0);
  });

  it('go on where an entry does not send what it was granted', async () => {
    await offerAll();
    expect(queue).not.to.have.lengthOf(0);
    queue.length = 0;
    now += 300;
    await passAll();
    grants.refresh();
    await passAll();
    expect(received).to.have.lengthOf(ENTRIES - 2);
  });

  it('are refused at half of their time where they were granted nothing', async () => {
    await offerAll();
    now = 1_600;
    grants.refresh();
    await settle();
    expect(refused).to.have.lengthOf(ENTRIES - 2);
    expect(refused[0]).to.equal('a-2 link_saturated');
  });

  it('send nothing after the offer where it is declined', async () => {
    const near = new End(queue);
    const far = new End();
    near.peer = far;
    far.peer = near;
    createLink(far, grants, {onBodyOffered: () => false});
    const entry = createLink(near, grants);
    entry.send(createUpload('a'), Buffer.alloc(UPLOAD_BYTES));
    expect(await passAll()).to.be.below(1_000);
    expect(grants.getWaitingMs()).to.equal(0);
    expect(entry.hasUnsentBody('a')).to.equal(false);
  });
});
