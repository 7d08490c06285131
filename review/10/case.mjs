/**
 * A request crashes each target that runs it. The proxies find it out and refuse it. Then
 * all machines of the system are stopped and started in turn, three times; the request
 * comes again after each.
 */
import {request} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import {TROUBLE, runCase, sleep} from '../lib-2/fleet.mjs';

const ROLLS = 3;
/** A crashed target is back after this time. */
const CRASHED_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;
/** Times that the request comes after each roll, at one machine after the other. */
const TRIES = 2;

const routes = {
  'r-view': {
    host: 'desk.example',
    prefix: '/view/',
    kind: 'safe',
    timeout: '1500ms',
    aim: '400ms',
    priority: 2,
    service: 'desk',
    attempts: 2,
  },
  // Not idempotent, so that each request of a caller reaches one target at most.
  'r-change': {
    host: 'desk.example',
    prefix: '/change/',
    kind: 'unsafe',
    timeout: '1500ms',
    aim: '500ms',
    priority: 1,
    service: 'desk',
    attempts: 2,
  },
};

function call(machine, id, method, path, recorder) {
  return new Promise(done => {
    const headers = {
      host: 'desk.example',
      'x-request-id': id,
      'x-deadline-ms': '1500',
    };
    const req = request(
      {...machine.callers, method, path, headers, agent: false, timeout: 3000},
      res => {
        res.resume();
        res.on('end', () => {
          const reason = res.headers['fireflysill-reason'] ?? '';
          recorder.write(
            `caller at machine ${machine.n} gets ${res.statusCode} ${reason} for ${id}`,
          );
          done();
        });
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', error => {
      recorder.write(
        `caller at machine ${machine.n} gets ${error.code} for ${id}`,
      );
      done();
    });
    req.end();
  });
}

await runCase(import.meta.dirname, async (fleet, recorder) => {
  await fleet.start(
    [
      {service: 'desk', zone: 'a'},
      {service: 'desk', zone: 'a'},
      {service: 'desk', zone: 'b'},
    ],
    routes,
  );
  const {machines} = fleet;
  const crashes = [];
  for (const {target} of machines) {
    target.onRequest = (req, _body, _res, id) => {
      if (!req.url.startsWith('/change/poison')) {
        return false;
      }
      crashes.push({id, at: performance.now()});
      recorder.write(
        `target ${target.id} crashes on ${id} (crash ${crashes.length})`,
      );
      target.crash();
      setTimeout(() => void target.listen(), CRASHED_MS);
      return true;
    };
  }
  const useAllTargets = async phase => {
    for (let n = 1; n <= 6; n += 1) {
      await Promise.all(
        machines.map(m =>
          call(m, `view-${phase}-${m.n}-${n}`, 'GET', `/view/${n}`, recorder),
        ),
      );
    }
  };
  const sendPoison = async (phase, tries) => {
    for (let n = 0; n < tries; n += 1) {
      await call(
        machines[n % machines.length],
        `poison-${phase}-${n + 1}`,
        'POST',
        '/change/poison',
        recorder,
      );
      await sleep(STABLE_WINDOW_MS + 500);
    }
  };
  await useAllTargets(0);
  await sendPoison(0, TRIES + 1);
  for (let roll = 1; roll <= ROLLS; roll += 1) {
    for (const machine of TROUBLE ? machines : []) {
      machine.signal('SIGTERM');
      await machine.exited;
      machine.startProxy();
      for (let tries = 0; !(await machine.isReady()); tries += 1) {
        if (tries > 100) {
          throw new Error('a proxy did not come back');
        }
        await sleep(100);
      }
      recorder.write(`proxy ${machine.n} is back`);
    }
    // All machines are in touch when the request comes again.
    await sleep(STABLE_WINDOW_MS + 1_000);
    await useAllTargets(roll);
    await sendPoison(roll, TRIES);
  }
  const [, , third] = crashes;
  const later = crashes.filter(
    ({at}) => third !== undefined && at > third.at + STABLE_WINDOW_MS,
  );
  recorder.write(
    `${crashes.length} crashes, ${later.length} of them by retries later than stable-window after the third; the rule allows three`,
  );
  return later.length > 3;
});
