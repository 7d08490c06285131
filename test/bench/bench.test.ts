import {createSchedule, runWindow} from '../../src/bench/open_loop.js';
import {
  fitLine,
  getQuantile,
  summarizeSamples,
  LatencyRecorder,
  round,
} from '../../src/bench/stats.js';
import {expect} from '../support/chai_setup.js';

describe('bench schedule', () => {
  it('is the same for the same seed', () => {
    const schedule = createSchedule(3, 100, 1_000, 42);
    expect(schedule).to.deep.equal(createSchedule(3, 100, 1_000, 42));
    expect(schedule).not.to.deep.equal(createSchedule(3, 100, 1_000, 43));
  });

  it('is sorted, ends within the window and is close to the rate', () => {
    const schedule = createSchedule(2, 1_000, 10_000, 7);
    const times = schedule.map(({at}) => at);
    expect(times).to.deep.equal([...times].sort((a, b) => a - b));
    expect(times[times.length - 1]).to.be.below(10_000);
    for (const arm of [0, 1]) {
      const count = schedule.filter(start => start.arm === arm).length;
      expect(count).to.be.within(9_600, 10_400);
    }
  });

  it('records each response once and counts failures separately', async () => {
    let sent = 0;
    const send = async () => {
      sent += 1;
      if (sent % 10 === 0) {
        throw new Error('refused');
      }
      return sent % 10 !== 1;
    };
    const [result] = await runWindow([{name: 'x', send}], 2_000, 50, 3);
    const thrown = Math.floor(sent / 10);
    expect(result.latencies.count).to.equal(sent - thrown);
    expect(result.failed).to.equal(thrown + Math.ceil(sent / 10));
  });
});

describe('bench statistics', () => {
  it('summarizes values', () => {
    const recorder = new LatencyRecorder();
    for (let ms = 1; ms <= 100; ms += 1) {
      recorder.record(ms);
    }
    expect({
      odd: summarizeSamples([3, 1, 2]),
      even: summarizeSamples([4, 1, 2, 3]),
      none: summarizeSamples([]),
      p99: getQuantile([1, 2, 3, 4], 0.99),
      line: fitLine([
        [8, 21],
        [16, 37],
        [32, 69],
      ]),
      flat: fitLine([[8, 5]]),
      recorded: [50, 99].map(p => round(recorder.getPercentile(p), 1)),
      notFinite: round(NaN),
    }).toMatchSnapshot();
  });
});
