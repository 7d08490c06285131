/* global performance */
/**
 * The machines of a zone are stopped and started in turn. A stopping proxy takes requests
 * that it cannot finish, and breaks them off while their targets are at work.
 */
import {Agent} from 'node:http';
import {runCase, sleep} from '../lib/harness.mjs';

/** One machine after the other gets SIGTERM with this pause; again after a while. */
const GAP_MS = 1_000;
const ROUNDS = 7;
const ROUND_PAUSE_MS = 4_500;

const CLIENTS_PER_MACHINE = 8;
const PAUSE_MS = 20;
/** Budgets and times of work as those of `firmware-pull`. */
const DEADLINE_MS = 2_500;
const TAIL_EVERY = 33;

/** Requests that were sent no later than this after SIGTERM are not counted. */
const LATE_MS = 3_000;
const GRACE_MS = 6_000;

/** Mean 130 ms; one in 33 takes 910 to 1,400 ms. */
function getWorkMs(n) {
  return n % TAIL_EVERY === 0
    ? 910 + ((n * 7_919) % 490)
    : 70 + ((n * 104_729) % 70);
}

await runCase(import.meta.dirname, async ({recorder, trouble, createFleet}) => {
  const fleet = createFleet({
    slots: 8,
    routes: {
      'r-pull': {
        prefix: '/pull/',
        kind: 'safe',
        timeout: `${DEADLINE_MS}ms`,
        aim: '600ms',
        attempts: 1,
        service: 'files',
      },
    },
  });
  let runs = 0;
  const ranAt = new Map();
  await fleet.start(
    ['files', 'files', 'files'],
    () => ({ms: getWorkMs(++runs)}),
    (target, req, id) => ranAt.set(id, performance.now()),
  );
  await sleep(3_500);

  const stoppedAt = new Map();
  const lost = [];
  let requests = 0;
  let isOver = false;
  async function run(machine, client) {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    while (!isOver) {
      if (!machine.mayBeUsed) {
        await sleep(50);
        continue;
      }
      requests += 1;
      const id = `${machine.host}-${client}-${requests}`;
      const sentAt = performance.now();
      const {status, headers, error} = await machine.call({
        path: `/pull/${id}`,
        id,
        deadlineMs: DEADLINE_MS,
        agent,
      });
      const tookMs = performance.now() - sentAt;
      const sentAfterMs = sentAt - (stoppedAt.get(machine) ?? Infinity);
      const isStopping = sentAfterMs >= 0 && sentAfterMs <= GRACE_MS;
      const wasBrokenOff =
        ranAt.has(id) && status !== 200 && tookMs < DEADLINE_MS - 100;
      if (isStopping && wasBrokenOff) {
        const reason = error ?? headers['fireflysill-reason'];
        recorder.write(
          `${id}: sent ${Math.round(sentAfterMs)} ms after SIGTERM of its machine, runs ` +
            `${Math.round(ranAt.get(id) - sentAt)} ms later, ends with ${status} (${reason}) ` +
            `after ${Math.round(tookMs)} ms`,
        );
        if (sentAfterMs > LATE_MS) {
          lost.push(id);
        }
      }
      await sleep(status === 0 ? 100 : PAUSE_MS);
    }
    agent.destroy();
  }
  async function restartInTurn() {
    for (let round = 0; round < ROUNDS; round += 1) {
      const restarts = [];
      for (const machine of fleet.machines) {
        if (trouble) {
          stoppedAt.set(machine, performance.now());
          restarts.push(machine.restart());
        }
        await sleep(GAP_MS);
      }
      await Promise.all([...restarts, sleep(GRACE_MS)]);
      await sleep(ROUND_PAUSE_MS);
    }
    isOver = true;
  }
  await Promise.all([
    restartInTurn(),
    ...fleet.machines.flatMap(machine =>
      Array.from({length: CLIENTS_PER_MACHINE}, (_, n) => run(machine, n)),
    ),
  ]);
  recorder.write(
    `${requests} requests; sent more than ${LATE_MS} ms after SIGTERM, passed on and broken ` +
      `off: ${lost.length}`,
  );
  return lost.length === 0;
});
