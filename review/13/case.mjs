/**
 * A request crashes each target that begins to run it: the target has sent the head of its
 * answer when it ends. Its client sends it again, at any machine. Counts in how many
 * retries it still reaches targets, later than `stable-window` after the third crash.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {
  TROUBLE,
  call,
  createConfig,
  record,
  runCase,
  sleep,
} from '../lib-3/harness.mjs';
import {Target} from '../lib-3/target.mjs';

const STABLE_WINDOW_MS = 3_000;
const DOWN_MS = 2_000;
const RETRY_EVERY_MS = 1_500;
const RETRIES_AFTER = 10;
const ALLOWED = 3;
/** For trials: `head` or `nothing`, what the target has sent of its answer at the crash. */
const SENT = process.env.SENT ?? 'head';

await runCase(import.meta.url, {}, async deployment => {
  const route = {
    host: 'shop.example',
    prefix: '/read/',
    kind: 'safe',
    timeout: '2s',
    aim: '400ms',
    attempts: 2,
    priority: 1,
    service: 'desk',
  };
  const targets = [];
  const crashes = [];
  await deployment.start(
    ['desk', 'desk', 'desk', 'desk'],
    createConfig(7, {read: route}, ['desk']),
    machine => {
      const target = new Target(machine, (req, run) => {
        if (!TROUBLE || !req.url.includes('/poison')) {
          return {ms: 120};
        }
        const crash = (res, head) => {
          crashes.push(run);
          record(`${run.id} crashes target ${machine.n}`);
          const end = () => target.restartAfter(DOWN_MS);
          if (SENT === 'nothing') {
            end();
            return;
          }
          res.writeHead(200, {
            ...head,
            'x-response-signature': 's',
            'content-length': 400,
          });
          res.write('the first bytes', () => setTimeout(end, 5));
        };
        return {crash};
      });
      targets.push(target);
      return target.server;
    },
  );
  const {machines} = deployment;
  let ordinary = 0;
  const outcomes = new Map();
  const load = setInterval(() => {
    const machine = machines[ordinary % machines.length];
    void call(machine, {
      path: `/read/o${ordinary}`,
      id: `o${ordinary++}`,
      deadlineMs: 2_500,
    }).then(({status}) =>
      outcomes.set(status, (outcomes.get(status) ?? 0) + 1),
    );
  }, 40);
  await sleep(1_000);
  let sent = 0;
  const sendPoison = async () => {
    const machine = machines[sent % machines.length];
    const id = `x${sent++}`;
    const {status, headers = {}} = await call(machine, {
      path: '/read/poison',
      id,
      deadlineMs: 2_500,
    });
    record(
      `${id} at machine ${machine.n}: ${status} ${headers['fireflysill-reason'] ?? ''}`,
    );
    return id;
  };
  for (
    let tries = 0;
    tries < 6 && (crashes.length < 3 || !TROUBLE);
    tries += 1
  ) {
    await sendPoison();
    await sleep(RETRY_EVERY_MS);
  }
  const third = crashes[2]?.at;
  const countedFrom = (third ?? performance.now()) + STABLE_WINDOW_MS;
  await sleep(Math.max(0, countedFrom - performance.now()) + 200);
  record('stable-window after the third crash is over');
  const retries = new Set();
  for (let tries = 0; tries < RETRIES_AFTER; tries += 1) {
    const before = crashes.length;
    const id = await sendPoison();
    if (crashes.length > before) {
      retries.add(id);
    }
    await sleep(RETRY_EVERY_MS);
  }
  clearInterval(load);
  await sleep(2_600);
  record(
    `crashes: ${crashes.length}; ordinary requests by status: ${JSON.stringify([...outcomes])}`,
  );
  record(
    `retries that reached targets after that: ${retries.size}; allowed: ${ALLOWED}`,
  );
  return retries.size > ALLOWED
    ? `BUDGET: the request reached targets in ${retries.size} retries after the third crash`
    : undefined;
});
