/** The age of a peer's messages lies between the bounds, whatever the clocks show. */
import fc from 'fast-check';
import {PeerClock} from '../../src/mesh/peer_clock.js';
import {expect} from '../support/chai_setup.js';

const DELAY = fc.double({min: 0, max: 2_000, noNaN: true});

/** One message of the peer: when it is sent and read, and what it replies to. */
const MESSAGE = fc.record({
  gapMs: fc.double({min: 0, max: 5_000, noNaN: true}),
  delayMs: DELAY,
  /** The time that the message took to which this one replies. */
  askDelayMs: fc.option(DELAY, {nil: undefined}),
});

/** Tolerance for rounding, in milliseconds. */
const ROUNDING_MS = 0.001;

describe('peer clock', () => {
  it('bounds the age of each message', () => {
    fc.assert(
      fc.property(
        fc.constantFrom(0, 1),
        fc.double({min: -1e6, max: 1e6, noNaN: true}),
        fc.double({min: -0.0004, max: 0.0004, noNaN: true}),
        fc.array(MESSAGE, {minLength: 1, maxLength: 30}),
        (resolutionMs, offset, drift, messages) => {
          const clock = new PeerClock(resolutionMs);
          const toPeer = (at: number) => {
            const peerAt = at * (1 + drift) - offset;
            return resolutionMs === 0 ? peerAt : Math.floor(peerAt);
          };
          let at = 10_000;
          for (const {gapMs, delayMs, askDelayMs} of messages) {
            const sentAt = at + gapMs;
            at = sentAt + delayMs;
            clock.recordMessage(toPeer(sentAt), at);
            if (askDelayMs !== undefined) {
              clock.recordReply(sentAt - askDelayMs, toPeer(sentAt), at);
            }
            const least = clock.getLeastAgeMs(toPeer(sentAt), at);
            const greatest = clock.getGreatestAgeMs(toPeer(sentAt), at);
            expect(least).to.be.at.most(delayMs + ROUNDING_MS);
            expect(greatest).to.be.at.least(delayMs - ROUNDING_MS);
          }
        },
      ),
    );
  });

  it('knows the age to the time that a reply took', () => {
    const clock = new PeerClock();
    clock.recordMessage(500, 10_005);
    expect(clock.getGreatestAgeMs(500, 10_005)).to.equal(Infinity);
    clock.recordReply(10_006, 503, 10_008);
    expect(clock.getGreatestAgeMs(600, 11_108)).to.be.closeTo(1_005, 1);
    expect(clock.getLeastAgeMs(600, 11_108)).to.be.closeTo(1_003, 1);
  });

  // Guards against callers that count as unconfirmed: a reply within a millisecond was
  // taken for one that was sent before the question, and the next message for a sign
  // that this machine had been suspended.
  it('keeps its bounds where a reply takes less than the resolution', () => {
    const clock = new PeerClock(1);
    // Sent at 10.9 and 11.0 on the same clock.
    clock.recordReply(10.1, 10, 10.95);
    clock.recordMessage(11, 11.05);
    expect(clock.getGreatestAgeMs(11, 12)).to.be.within(1, 3);
  });

  it('follows a machine whose clock stood still', () => {
    const clock = new PeerClock();
    clock.recordMessage(1_000, 11_000);
    clock.recordReply(10_999, 1_000, 11_000);
    // The peer is suspended for 5 s.
    clock.recordMessage(1_100, 16_100);
    clock.recordReply(16_099, 1_100, 16_100);
    expect(clock.getLeastAgeMs(1_200, 16_200)).to.be.closeTo(0, 1);
    // This machine is suspended for 5 s.
    clock.recordMessage(6_300, 16_300);
    expect(clock.getGreatestAgeMs(6_300, 16_300)).to.equal(Infinity);
    clock.recordReply(16_299, 6_300, 16_300);
    expect(clock.getGreatestAgeMs(6_300, 16_300)).to.be.closeTo(1, 1);
  });
});
