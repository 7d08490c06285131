/** How late a process that stood still finds what has arrived meanwhile. */
import {TurnClock} from '../../src/mesh/turn_clock.js';
import {expect} from '../support/chai_setup.js';

function passTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

describe('turn clock', () => {
  let now: number;
  let tickAt: number;
  let turns: TurnClock;

  beforeEach(() => {
    now = 1_000;
    tickAt = 1_100;
    turns = new TurnClock(
      () => now,
      () => tickAt,
    );
  });

  it('counts nothing as late while ticks are on time', async () => {
    now = 1_090;
    turns.enter();
    expect(turns.getBehindMs()).to.equal(0);
    now = 1_093;
    expect(turns.getBehindMs()).to.equal(3);
    await passTurn();
    expect(turns.getBehindMs()).to.equal(0);
  });

  it('counts from the last turn after the process stood still', async () => {
    now = 1_050;
    turns.enter();
    await passTurn();
    now = 2_050;
    turns.enter();
    expect(turns.getBehindMs()).to.equal(1_000);
    now = 2_060;
    expect(turns.getBehindMs()).to.equal(1_010);
    expect(turns.getTurnMs()).to.equal(10);
  });

  it('counts from the end of late input once all of it is read', async () => {
    now = 2_000;
    turns.enter();
    now = 2_030;
    await passTurn();
    expect(turns.getBehindMs()).to.equal(30);
  });

  it('catches up after one more look at the sockets', async () => {
    turns.enter();
    let caughtUp = false;
    const waiting = turns.catchUp().then(() => (caughtUp = true));
    await passTurn();
    expect(caughtUp).to.equal(false);
    await waiting;
    expect(caughtUp).to.equal(true);
  });

  it('catches up after the whole of a turn that input begins', async () => {
    const order: string[] = [];
    turns.enter();
    void turns.catchUp().then(() => order.push('first'));
    await passTurn();
    turns.enter();
    const second = turns.catchUp().then(() => order.push('second'));
    await passTurn();
    expect(order).to.deep.equal(['first']);
    await second;
  });

  // The loop accepts one connection in each turn, so the last waits for many turns.
  it('counts the wait of connections from before the first of a series', async () => {
    now = 2_000;
    expect(turns.recordConnection()).to.equal(1_000);
    await passTurn();
    tickAt = 2_100;
    now = 2_010;
    expect(turns.recordConnection()).to.equal(1_000);
    await passTurn();
    now = 2_020;
    turns.enter();
    await passTurn();
    now = 2_030;
    expect(turns.recordConnection()).to.equal(2_030);
  });
});
