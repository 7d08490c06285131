/** Unexpected errors in the decision core or in its effects. */
import {CoreLoop} from '../../src/proxy/core_loop.js';
import {expect} from '../support/chai_setup.js';

interface TestEvent {
  readonly kind: 'good' | 'bad' | 'badEffect';
}

function run(kinds: ReadonlyArray<TestEvent['kind']>): string[] {
  const seen: string[] = [];
  const loop = new CoreLoop<object, TestEvent, string>(
    {},
    (state, {kind}) => {
      if (kind === 'bad') {
        throw new Error('reducer');
      }
      return [state, [kind, 'last']];
    },
    {now: () => 0, getEntropy: () => 0},
    effect => {
      if (effect === 'badEffect') {
        throw new Error('effect');
      }
      seen.push(effect);
    },
    (error, {kind}) => seen.push(`${kind}: ${String(error)}`),
  );
  kinds.forEach(kind => loop.post({kind}));
  return seen;
}

describe('core loop', () => {
  it('handles later events and effects after an unexpected error', () => {
    expect(run(['bad', 'good', 'badEffect', 'good'])).to.deep.equal([
      'bad: Error: reducer',
      'good',
      'last',
      'badEffect: Error: effect',
      'last',
      'good',
      'last',
    ]);
  });
});
