/* global performance */
/**
 * Half of the targets spoil one answer in fifty: the status line says 000 in place of
 * 200. The proxy beside such a target stands still for seconds, and no request at its
 * machine is answered.
 */
import {Agent} from 'node:http';
import {runCase, sleep} from '../lib/harness.mjs';

/** Every fiftieth answer of the faulty targets (x = 0.02). */
const SPOILED_EVERY = 50;
const FAULT_MS = 5_500;

const FAULTS = 1;
const PAUSE_MS = 8_000;

const CLIENTS_PER_MACHINE = 8;
const WORK_MS = 30;
const ROUTE_TIMEOUT_MS = 1_200;
const DEADLINE_MS = 2_500;
/** Fewer unanswered requests are not judged. */
const MIN_REQUESTS = 8;

await runCase(import.meta.dirname, async ({recorder, trouble, createFleet}) => {
  const route = {timeout: `${ROUTE_TIMEOUT_MS}ms`, aim: '400ms'};
  const fleet = createFleet({
    slots: 9,
    routes: {
      'r-view': {...route, prefix: '/view/', kind: 'safe', service: 'desk'},
    },
  });
  let isFaultOn = false;
  let answers = 0;
  const spoiled = new Set();
  await fleet.start(['desk', 'desk', 'desk', 'desk'], (req, _size, target) => {
    const [first, second] = fleet.machines;
    const isFaulty = target === first.target || target === second.target;
    if (!isFaulty || !isFaultOn) {
      return {ms: WORK_MS};
    }
    answers += 1;
    if (answers % SPOILED_EVERY !== 0) {
      return {ms: WORK_MS};
    }
    const id = req.headers['x-request-id'];
    spoiled.add(id);
    recorder.write(`target ${target.id} runs ${id} and spoils its answer`);
    return {ms: WORK_MS, statusLine: 'HTTP/1.1 000 OK'};
  });
  await sleep(3_500);

  const replies = [];
  let isOver = false;
  async function runFaults() {
    for (let n = 0; n < FAULTS; n += 1) {
      isFaultOn = trouble;
      recorder.write(trouble ? 'targets begin to spoil answers' : 'no fault');
      await sleep(FAULT_MS);
      isFaultOn = false;
      recorder.write('targets are sound again');
      await sleep(PAUSE_MS);
    }
    isOver = true;
  }
  async function run(machine, client) {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    for (let n = 0; !isOver; n += 1) {
      const id = `${machine.host}-${client}-${n}`;
      const sentAt = performance.now();
      const {status} = await machine.call({
        path: `/view/${id}`,
        id,
        deadlineMs: DEADLINE_MS,
        agent,
      });
      replies.push({id, status, sentAt, tookMs: performance.now() - sentAt});
    }
    agent.destroy();
  }
  await Promise.all([
    runFaults(),
    ...fleet.machines.flatMap(machine =>
      Array.from({length: CLIENTS_PER_MACHINE}, (_, n) => run(machine, n)),
    ),
  ]);

  const isUnansweredAt = (reply, ms) => reply.status === 0 || reply.tookMs > ms;
  const late = replies.filter(r => isUnansweredAt(r, ROUTE_TIMEOUT_MS));
  const never = replies.filter(r => isUnansweredAt(r, ROUTE_TIMEOUT_MS + 500));
  for (const {id, status, tookMs, sentAt} of late) {
    const kind = spoiled.has(id) ? 'answer was spoiled' : 'answer was sound';
    recorder.write(
      `sent ${(sentAt / 1000).toFixed(3)} ${id}: ${status === 0 ? 'no answer' : status} after ${Math.round(tookMs)} ms; ${kind}`,
    );
  }
  recorder.write(
    `${replies.length} requests, ${spoiled.size} answers spoiled; unanswered at the ` +
      `route's timeout: ${late.length}; half a second later: ${never.length}`,
  );
  return never.length < MIN_REQUESTS || never.length <= late.length / 2;
});
