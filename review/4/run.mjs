/* global performance */
/**
 * Large answers are read slowly while machines are stopped and started in turn. A stopping
 * proxy exits long before the end of its grace period and cuts the answers off.
 */
import {runCase, sleep, waitFor} from '../lib/harness.mjs';

const ANSWER = 'x'.repeat(12 * 1_048_576);
const BYTES_PER_SECOND = 3_800_000;
const ROUTE_TIMEOUT_MS = 4_000;
const DEADLINE_MS = 8_000;
const GRACE_MS = 6_000;
const CLIENTS_PER_MACHINE = 4;
const GAP_MS = 6_000;

await runCase(import.meta.dirname, async ({recorder, trouble, createFleet}) => {
  const ran = new Set();
  const fleet = createFleet({
    slots: 8,
    routes: {
      'r-firmware': {
        prefix: '/firmware/',
        kind: 'download',
        timeout: `${ROUTE_TIMEOUT_MS}ms`,
        aim: '1200ms',
        service: 'files',
      },
    },
  });
  await fleet.start(
    ['files', 'files', 'files'],
    () => ({ms: 124, body: ANSWER}),
    (target, req, id) => ran.add(id),
  );
  await sleep(3_500);
  let isOver = false;
  const stoppedAt = new Map();
  const lost = [];
  async function read(machine, client) {
    await sleep(client * 700);
    for (let n = 0; !isOver; n += 1) {
      if (!machine.isIn) {
        await sleep(100);
        continue;
      }
      const id = `${machine.host}-${client}-${n}`;
      const reply = await machine.download({
        path: `/firmware/${id}`,
        id,
        deadlineMs: DEADLINE_MS,
        bytesPerSecond: BYTES_PER_SECOND,
      });
      const {status, bytes, isComplete, error = '', tookMs} = reply;
      const end = isComplete ? 'whole' : 'cut';
      const sinceStopMs =
        performance.now() - (stoppedAt.get(machine) ?? -Infinity);
      const isStopping = sinceStopMs <= GRACE_MS + 1_000;
      recorder.write(
        `${id}: ${status}, ${bytes} of ${ANSWER.length} bytes, ${end} after ${Math.round(tookMs)} ms ${error}` +
          (isStopping ? `, ${Math.round(sinceStopMs)} ms after SIGTERM` : ''),
      );
      const inTime = tookMs < ROUTE_TIMEOUT_MS;
      if (isStopping && ran.has(id) && !isComplete && inTime) {
        lost.push(id);
      }
    }
  }
  async function restartInTurn() {
    await sleep(GAP_MS);
    for (const machine of fleet.machines) {
      await sleep(GAP_MS);
      if (trouble) {
        stoppedAt.set(machine, performance.now());
        const {child} = machine;
        await machine.restart();
        await waitFor('a new process', () => machine.child !== child, 5_000);
        await waitFor('its readiness', () => machine.isReady());
      }
    }
    await sleep(GAP_MS);
    isOver = true;
  }
  await Promise.all([
    restartInTurn(),
    ...fleet.machines.flatMap(machine =>
      Array.from({length: CLIENTS_PER_MACHINE}, (_, n) => read(machine, n)),
    ),
  ]);
  recorder.write(
    `requests that a target has run and whose answer the stopping proxy cut off: ${lost.length}`,
  );
  return lost.length === 0;
});
