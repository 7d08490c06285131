/**
 * Counts what a process does, for `count_events.ts`. Loaded before the daemon with
 * `node --require`. On SIGUSR2 it writes the totals to the file that
 * `EVENT_COUNTS_DIR` and the process id name.
 */
'use strict';
const process = require('node:process');
const fs = require('node:fs');
const net = require('node:net');
const {performance} = require('node:perf_hooks');

const counts = {
  timersStarted: 0,
  timersFired: 0,
  socketWrites: 0,
  linkReads: 0,
  jsonEncoded: 0,
  jsonDecoded: 0,
  logWrites: 0,
};

function wrap(owner, name, onCall) {
  const original = owner[name];
  owner[name] = function (...args) {
    onCall(args, this);
    return original.apply(this, args);
  };
}

for (const name of ['setTimeout', 'setInterval']) {
  wrap(globalThis, name, args => {
    counts.timersStarted += 1;
    const [callback] = args;
    args[0] = function (...callbackArgs) {
      counts.timersFired += 1;
      return callback.apply(this, callbackArgs);
    };
  });
}
wrap(net.Socket.prototype, '_writeGeneric', (_args, socket) => {
  counts[socket === process.stdout ? 'logWrites' : 'socketWrites'] += 1;
});
wrap(net.Socket.prototype, 'push', () => {
  counts.linkReads += 1;
});
wrap(JSON, 'stringify', () => {
  counts.jsonEncoded += 1;
});
wrap(JSON, 'parse', () => {
  counts.jsonDecoded += 1;
});
wrap(fs, 'write', () => {
  counts.logWrites += 1;
});

process.on('SIGUSR2', () => {
  const {user, system} = process.cpuUsage();
  const {loopCount, events} = performance.nodeTiming.uvMetricsInfo;
  const totals = {
    ...counts,
    wakeUps: loopCount,
    events,
    cpuMs: (user + system) / 1e3,
  };
  const file = `${process.env.EVENT_COUNTS_DIR}/${process.pid}.json`;
  fs.writeFileSync(
    `${file}.new`,
    `{${Object.entries(totals).map(([k, v]) => `"${k}":${v}`)}}`,
  );
  fs.renameSync(`${file}.new`, file);
});
