/** What a failed assertion in the deployed bundle costs. */
import {createRequire} from 'node:module';
import {readFileSync} from 'node:fs';
import {expect} from '../support/chai_setup.js';

const require = createRequire(import.meta.url);
const BUNDLE = 'target/fireflysill_platform.cjs';

/** Longest line; an uncaught error quotes the whole line. */
const MAX_LINE_CHARS = 4_096;

function getError(run: () => void): Error | undefined {
  try {
    run();
    return undefined;
  } catch (error) {
    return error as Error;
  }
}

describe('assertions in the bundle', () => {
  const assert = require('../../tools/assert.cjs');
  const variants: Readonly<Record<string, (value: unknown) => void>> = {
    assert,
    'assert.ok': assert.ok,
    'assert.strict': assert.strict,
    'assert.strict.ok': assert.strict.ok,
  };

  // Guards against a stall: to quote the failed expression, Node.js reads the source.
  for (const [name, check] of Object.entries(variants)) {
    it(`${name} fails without the source of its expression`, () => {
      const error = getError(() => check(0 > 1));
      expect(error).to.include({
        name: 'AssertionError',
        code: 'ERR_ASSERTION',
        message: 'Assertion failed.',
      });
      expect(getError(() => check(1 > 0))).to.equal(undefined);
    });
  }

  it('keep a given message or error', () => {
    const given = new TypeError('given');
    expect(getError(() => assert(false, given))).to.equal(given);
    expect(getError(() => assert(false, 'text'))?.message).to.equal('text');
    expect(getError(() => assert.strictEqual(1, 2))?.name).to.equal(
      'AssertionError',
    );
  });

  it('use the replacement, and lines are short', () => {
    const bundle = readFileSync(BUNDLE, 'utf8');
    const uses = bundle.match(/require\("(node:)?assert[^"]*"\)/g);
    expect(uses).to.deep.equal(['require("node:assert")']);
    const lengths = bundle.split('\n').map(line => line.length);
    expect(Math.max(...lengths)).to.be.below(MAX_LINE_CHARS);
  });
});
