/** Connections of callers that keep many requests open while memory is short. */
import {EventEmitter, once} from 'node:events';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {CallerConnections} from '../../src/mesh/caller_connections.js';
import {MemoryBudget} from '../../src/proxy/memory_budget.js';
import {expect} from '../support/chai_setup.js';

/** Room for both connections and their requests, and nothing else. */
const MAX_BYTES = 10 * 16_384 + 200;
const ORDINARY_BYTES = 16_384;

function createRequest(socket: Socket): [IncomingMessage, ServerResponse] {
  const req = Object.assign(new IncomingMessage(socket), {url: '/read/1'});
  return [req, new EventEmitter() as ServerResponse];
}

describe('connections of callers', () => {
  it('are given up for ordinary requests if many requests are open', async () => {
    const budget = new MemoryBudget(MAX_BYTES, 0);
    const connections = new CallerConnections(budget);
    const [crowded, ordinary] = [new Socket(), new Socket()];
    for (const [socket, count] of [
      [crowded, 6],
      [ordinary, 2],
    ] as const) {
      connections.add(socket);
      for (let n = 0; n < count; n += 1) {
        connections.open(...createRequest(socket));
      }
    }
    expect(budget.tryReserve(ORDINARY_BYTES)).to.equal(true);
    expect([crowded.destroyed, ordinary.destroyed]).to.deep.equal([
      true,
      false,
    ]);
    await once(crowded, 'close');
    expect(budget.usedBytes).to.be.below(5 * 16_384);
  });
});
