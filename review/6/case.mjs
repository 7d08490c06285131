/**
 * A proxy stands still for 3.2 s while connections of callers are open on which no
 * request has been sent yet. The callers send a non-idempotent request meanwhile.
 */
import net from 'node:net';
import {TROUBLE, runCase, sleep} from '../lib-2/fleet.mjs';
import {readAnswer, startRelay} from '../lib-2/relay.mjs';

/** One way between callers and machines, as in litoral-mesh. */
const CLIENT_MS = 8;
const FREEZE_MS = 3_200;
const SENT_AFTER_MS = 1_500;
const ROUNDS = 6;
const CALLERS = 8;
/** `X-Deadline-Ms` of `box-change` in vitalita-mesh. */
const BUDGET_MS = 3_000;

const PROMISES = new Set([408, 421, 429, 503]);

const routes = {
  'r-change': {
    host: 'desk.example',
    prefix: '/change/',
    kind: 'unsafe',
    timeout: '2500ms',
    aim: '500ms',
    priority: 1,
    service: 'desk',
    attempts: 2,
  },
};

/** A caller that opens its connection ahead of its request. */
class Caller {
  text = '';
  constructor(id, address, recorder) {
    Object.assign(this, {id, recorder});
    this.socket = net.connect({...address, noDelay: true});
    this.socket.on('error', () => undefined);
    this.socket.on('data', chunk => {
      this.text += chunk;
      const answer = readAnswer(this.text);
      if (answer !== undefined && this.answer === undefined) {
        this.answer = answer;
        recorder.write(`caller gets ${answer.status} for ${id}`);
        if (answer.closes) {
          this.socket.destroy();
        }
      }
    });
  }
  send() {
    this.recorder.write(`caller sends ${this.id}`);
    this.socket.write(
      `POST /change/${this.id} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: ${this.id}\r\n` +
        `X-Deadline-Ms: ${BUDGET_MS}\r\nContent-Length: 2\r\n\r\nok`,
    );
  }
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
  const [machine] = fleet.machines;
  const relay = await startRelay(machine.callers, CLIENT_MS);
  let broken = 0;
  for (let round = 1; round <= ROUNDS; round += 1) {
    const callers = Array.from(
      {length: CALLERS},
      (_, n) => new Caller(`change-${round}-${n + 1}`, relay.address, recorder),
    );
    await sleep(300);
    if (TROUBLE) {
      machine.signal('SIGSTOP');
    }
    await sleep(SENT_AFTER_MS);
    callers.forEach(caller => caller.send());
    await sleep(FREEZE_MS - SENT_AFTER_MS);
    if (TROUBLE) {
      machine.signal('SIGCONT');
    }
    // Longer than the time budget and the route's timeout.
    await sleep(BUDGET_MS);
    const ran = new Set(
      fleet.machines.flatMap(({target}) => target.runs.map(({id}) => id)),
    );
    for (const {id, answer, socket} of callers) {
      socket.destroy();
      if (answer !== undefined && PROMISES.has(answer.status) && ran.has(id)) {
        broken += 1;
        recorder.write(`${id} was answered ${answer.status} and has run`);
      }
    }
  }
  relay.stop();
  recorder.write(
    `${broken} of ${ROUNDS * CALLERS} requests were refused with a promise and have run`,
  );
  return broken > 0;
});
