// Replaces node:assert in the bundle. Without a message, the built-in module reads the
// source file and parses it from the failing call on, synchronously, to quote the
// expression; in the long lines of the bundle this takes seconds.
const builtin = require('node:assert');

function assert(value, message) {
  if (value) {
    return;
  }
  if (message instanceof Error) {
    throw message;
  }
  throw new builtin.AssertionError({
    message: message ?? 'Assertion failed.',
    actual: value,
    expected: true,
    operator: '==',
    stackStartFn: assert,
  });
}

module.exports = Object.assign(assert, builtin, {
  ok: assert,
  strict: Object.assign(
    (value, message) => assert(value, message),
    builtin.strict,
    {ok: assert},
  ),
});
