/** Sizes of control messages in a fleet of the size expected in two years. */
import {AddressInfo, connect, createServer} from 'node:net';
import {Effect} from '../../src/core/types.js';
import {PeerReply, PeerRequest} from '../../src/model/peer.js';
import {VmList} from '../../src/model/platform.js';
import {ConnectionPools} from '../../src/proxy/connection_pools.js';
import {ControlClient} from '../../src/proxy/control_channel.js';
import {closeGracefully, listen} from '../../src/proxy/listener.js';
import {
  DEFAULT_MEMORY_MB,
  createMemoryBudget,
} from '../../src/proxy/memory_limits.js';
import {PeerServer} from '../../src/proxy/peer_server.js';
import {
  CoreFixture,
  createSettings,
  createSubmission,
  START_MS,
} from '../support/core_fixture.js';
import {
  createTimeoutPatch,
  createIds,
  createZonedPatch,
  assignZone,
} from '../support/fleet_patches.js';
import {getMessageSize} from '../support/fleet_fixture.js';
import {expect} from '../support/chai_setup.js';

const PROXIES = 630;
const ZONES = 7;

/** Limit of the control traffic of one proxy, sent and received. */
const MAX_CONTROL_BYTES_PER_SECOND = 4_096;

function createLargeCore(): CoreFixture {
  const core = new CoreFixture('desk-1', {zone: assignZone('desk-1', ZONES)});
  core.adopt(createZonedPatch(createIds(PROXIES), ZONES));
  core.at += 60_000;
  core.reduce({kind: 'sourceAnswered', head: 1, submissions: [], vmList});
  return core;
}

const vmList: VmList = {
  revision: 7,
  vms: createIds(PROXIES).map(upstreamId => ({upstreamId, state: 'live'})),
};

function getPeerRequests(
  effects: readonly Effect[],
  kind: PeerRequest['kind'],
) {
  return effects.flatMap(effect =>
    effect.kind === 'askPeer' && effect.request.kind === kind
      ? [effect.request]
      : [],
  );
}

function getPeerAddresses(
  effects: readonly Effect[],
  kind: PeerRequest['kind'],
) {
  return effects.flatMap(effect =>
    effect.kind === 'askPeer' && effect.request.kind === kind
      ? [effect.address]
      : [],
  );
}

function tickUntilGossip(core: CoreFixture): PeerRequest {
  for (;;) {
    core.at += 25;
    const [request] = getPeerRequests(core.reduce({kind: 'tick'}), 'gossip');
    if (request !== undefined) {
      return request;
    }
  }
}

function ask(core: CoreFixture, request: PeerRequest): PeerReply {
  const effects = core.reduce({kind: 'peerAsked', requestId: 'r', request});
  const reply = effects.find(({kind}) => kind === 'replyPeer');
  if (reply?.kind !== 'replyPeer') {
    throw new Error('The core gave no reply.');
  }
  return reply.reply;
}

/** Starts a TCP relay that counts the bytes that it forwards. */
async function startCountingRelay(target: string) {
  const [host, port] = target.split(':');
  let bytes = 0;
  const relay = createServer(inbound => {
    const outbound = connect(Number(port), host);
    for (const [from, to] of [
      [inbound, outbound],
      [outbound, inbound],
    ]) {
      from.on('data', chunk => {
        bytes += chunk.length;
        to.write(chunk);
      });
      from.on('error', () => to.destroy());
      from.on('close', () => to.destroy());
    }
  });
  await new Promise<void>(resolve => relay.listen(0, host, resolve));
  const {port: ownPort} = relay.address() as AddressInfo;
  return {
    address: `${host}:${ownPort}`,
    countBytes: () => bytes,
    close: () => relay.close(),
  };
}

describe('control messages', () => {
  it('stay small in a fleet of 630', () => {
    const core = createLargeCore();
    const gossip = tickUntilGossip(core);
    const gossipReply = ask(core, gossip);
    core.reduce({
      kind: 'sourceAnswered',
      head: 2,
      submissions: [createSubmission(2, 1, createTimeoutPatch(2_000))],
    });
    // Other zones and watchers announce before this proxy does.
    core.at += 5_000;
    const announced = core.reduce({kind: 'tick'});
    const announces = getPeerRequests(announced, 'announce');
    const [announce] = announces;
    const pushed = ([1, 2] as const).flatMap(round =>
      getPeerAddresses(announced, 'announce').flatMap(address =>
        core.reduce({
          kind: 'peerReplied',
          address,
          request: {kind: 'announce', sequence: 2, round},
          reply: {kind: 'announce', incarnation: 1},
        }),
      ),
    );
    const [push] = getPeerRequests(pushed, 'push');
    const join = {kind: 'join', id: 'desk-9', round: 1} as const;
    expect({
      gossip: getMessageSize(gossip),
      gossipReply: getMessageSize(gossipReply),
      pushOfChange: getMessageSize(push),
      pushes: getPeerRequests(pushed, 'push').length,
      announce: getMessageSize(announce),
      announces: announces.length,
      join: getMessageSize(join),
      joinReply: getMessageSize(ask(core, join)),
    }).toMatchSnapshot();
  });

  it('contain only the changes of the VM list', () => {
    const core = createLargeCore();
    const vms = vmList.vms.map(vm =>
      vm.upstreamId === 'desk-5' ? {...vm, state: 'leaving' as const} : vm,
    );
    const changed = core.reduce({
      kind: 'sourceAnswered',
      head: 1,
      submissions: [],
      vmList: {revision: 8, vms},
    });
    const [push] = getPeerRequests(changed, 'push');
    const gossip = tickUntilGossip(core);
    const replyTo = (vmRevision: number) =>
      gossip.kind === 'gossip'
        ? getMessageSize(ask(core, {...gossip, vmRevision}))
        : undefined;
    expect({
      push,
      pushBytes: getMessageSize(push),
      replyToCurrent: replyTo(8),
      replyToOneBehind: replyTo(7),
      replyToNewcomer: replyTo(0),
    }).toMatchSnapshot();
  });

  it('use less than half of the limit, with HTTP headers, at one exchange per second', async () => {
    const core = createLargeCore();
    const request = tickUntilGossip(core);
    const {limits} = createSettings('desk-1');
    const traffic = {sentBytes: 0, receivedBytes: 0};
    const server = new PeerServer(
      limits,
      traffic,
      event => {
        if (event.kind === 'peerAsked') {
          server.reply(event.requestId, ask(core, event.request));
        }
      },
      () => undefined,
      createMemoryBudget(DEFAULT_MEMORY_MB),
    );
    const listener = await listen(
      '127.0.0.1:0',
      limits,
      16,
      () => undefined,
      (req, res) => void server.handle(req, res),
    );
    const relay = await startCountingRelay(listener.address);
    const pools = new ConnectionPools(2);
    const client = new ControlClient(pools, traffic);
    const exchanges = 10;
    for (let i = 0; i < exchanges; i += 1) {
      const reply = await client.sendRequest(relay.address, request);
      expect(reply?.kind).to.equal('gossip');
    }
    await pools.destroy();
    relay.close();
    await closeGracefully(listener);
    const perExchange = Math.round(relay.countBytes() / exchanges);
    console.log(`        ${perExchange} bytes in one gossip exchange`);
    // On average a proxy starts one exchange per second and answers another.
    expect(perExchange).to.be.above(500);
    expect(2 * perExchange).to.be.below(MAX_CONTROL_BYTES_PER_SECOND / 2);
  });

  it('pull the state only once during a start', () => {
    const core = new CoreFixture('desk-1', {
      zone: assignZone('desk-1', ZONES),
      seeds: ['127.0.0.1:9001', '127.0.0.1:9002'],
    });
    core.reduce({kind: 'started'});
    const reply: PeerReply = {
      kind: 'join',
      incarnation: START_MS,
      ready: true,
      sequence: 4,
      region: 'centre',
      heard: 0,
      members: [],
    };
    const request = {kind: 'join', id: 'desk-1', round: 1} as const;
    const effects = [1, 2].flatMap(n =>
      core.reduce({
        kind: 'peerReplied',
        address: `127.0.0.1:900${n}`,
        request,
        reply,
      }),
    );
    expect(getPeerRequests(effects, 'pull')).to.have.length(1);
    expect(core.at).to.equal(START_MS);
  });
});
