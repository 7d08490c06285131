/** The links of one proxy: what they hold together for peers that read nothing. */
import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {once} from 'node:events';
import {BodyGrants} from '../../src/mesh/body_grants.js';
import {BodyPacer} from '../../src/mesh/body_pacer.js';
import {encodeFrame} from '../../src/mesh/frames.js';
import {Link} from '../../src/mesh/link.js';
import {LinkManager} from '../../src/mesh/link_manager.js';
import {MessageCodec} from '../../src/mesh/message_codec.js';
import {MemoryBudget} from '../../src/proxy/memory_budget.js';
import {expect} from '../support/chai_setup.js';
import {NO_DELAYS, createHello} from './mesh_fixture.js';

const PEERS = 5;
const SENT_BYTES = 3_900_000;

describe('links of a proxy', () => {
  const codec = new MessageCodec([]);
  const sockets: Socket[] = [];
  let server: Server;

  beforeEach(async () => {
    // Peers that send their hello and read nothing.
    server = createServer(socket => {
      const address = `127.0.0.1:${sockets.push(socket)}`;
      const message = codec.encode(createHello({address}), true);
      const body = Buffer.alloc(0);
      const stamp = {sentAt: 0, behindMs: 0};
      socket.write(encodeFrame({kind: 'whole', message, body}, stamp));
      socket.on('error', () => undefined);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    sockets.splice(0).forEach(socket => socket.destroy());
    server.close();
  });

  // Guards against memory for many slow readers, each within the limit of its link.
  it('count what they have not sent, and give up the slowest if it is too much', async () => {
    const budget = new MemoryBudget(100e6, 0);
    const links = new LinkManager(
      {
        createHello: () => createHello({address: '127.0.0.1:1000'}),
        onMessage: () => undefined,
        onBodyRefused: () => undefined,
        onBodyOffered: () => true,
        onConfirmed: () => undefined,
        onClose: () => undefined,
        onBadFrame: () => undefined,
      },
      codec,
      () => performance.now(),
      new BodyPacer(() => 10_000),
      NO_DELAYS,
      budget,
      new BodyGrants(() => 10_000),
    );
    const {port} = server.address() as AddressInfo;
    const opened: Link[] = [];
    for (let n = 0; n < PEERS; n += 1) {
      const link = await links.open(`127.0.0.1:${port}`);
      opened.push(...(link === undefined ? [] : [link]));
    }
    for (const link of opened) {
      while (link.unsentBytes < SENT_BYTES) {
        link.send({kind: 'cancel', attemptId: 'a'}, Buffer.alloc(8_000));
      }
    }
    links.checkIfDue();
    expect(budget.usedBytes).to.be.within(
      PEERS * SENT_BYTES,
      PEERS * (SENT_BYTES + 10_000),
    );
    expect(opened.map(({closed}) => closed).sort()).to.deep.equal([
      ...[false, false, false, false],
      true,
    ]);
    void links.close();
  });
});
