/** Tells a proxy's own work from a suspension when its event loop stood still. */
import {StallDetector} from '../../src/mesh/stall_detector.js';
import {expect} from '../support/chai_setup.js';

describe('stall detector', () => {
  let processorMs: number;
  let detector: StallDetector;

  beforeEach(() => {
    processorMs = 0;
    detector = new StallDetector(() => processorMs);
    detector.check(0, 0);
  });

  it('reports nothing while ticks are on time', () => {
    processorMs = 900;
    expect(detector.check(1_000, 990)).to.equal(undefined);
    expect(detector.check(1_600, 1_101)).to.equal(undefined);
  });

  it('reports the own work of the process', () => {
    processorMs = 4_900;
    expect(detector.check(5_100, 100)).to.deep.equal({
      stalledMs: 5_000,
      processorMs: 4_900,
      cause: 'own_work',
    });
  });

  it('reports a process that got no processor time', () => {
    processorMs = 30;
    expect(detector.check(5_100, 100)?.cause).to.equal('suspended');
  });

  it('counts only the processor time since the last stall', () => {
    processorMs = 4_900;
    detector.check(5_100, 100);
    processorMs = 4_930;
    expect(detector.check(9_000, 5_200)).to.deep.equal({
      stalledMs: 3_800,
      processorMs: 30,
      cause: 'suspended',
    });
  });
});
