/**
 * Real proxies on a list in which another writer has left one odd entry. They must go on
 * to follow the list, and start on it.
 */
import {expect} from '../support/chai_setup.js';
import {FleetStandin, waitForFleet} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';
import {createInstanceEntry} from './store_standin.js';

const ADDRESS = '127.0.1.9:8000';

/** Levels of nesting; the platform's values have at most a megabyte. */
const LEVELS = 100_000;

const NESTED = '['.repeat(LEVELS) + ']'.repeat(LEVELS);
const NESTED_OBJECTS = '{"a":'.repeat(LEVELS) + '1' + '}'.repeat(LEVELS);

/** Writes a sound entry with one member as given text, which need not be valid JSON. */
function createEntryWith(member: string, text: string): string {
  const entry = createInstanceEntry(ADDRESS, {[member]: '@'});
  return JSON.stringify(entry).replace('"@"', text);
}

const INVALID: Readonly<Record<string, string>> = {
  'nested arrays': NESTED,
  'nested objects': NESTED_OBJECTS,
  'nested slots': createEntryWith('slots', NESTED),
  'a nested state': createEntryWith('state', NESTED_OBJECTS),
  'nesting without an end': '['.repeat(LEVELS),
  'too large a number of slots': createEntryWith('slots', '1e400'),
  'more slots than a whole number holds': createEntryWith('slots', '1e21'),
  'too large a sequence': createEntryWith('seq', '9'.repeat(400)),
  'too large a time of birth': createEntryWith('born', '-1e999'),
  'too long a cold start': createEntryWith(
    'cold-left',
    `"${'9'.repeat(400)}ms"`,
  ),
  'a port out of range': JSON.stringify(createInstanceEntry('127.0.1.9:65536')),
  'a port of five nines': JSON.stringify(
    createInstanceEntry('127.0.1.9:99999'),
  ),
  'port 0': JSON.stringify(createInstanceEntry('127.0.1.9:0')),
  'a port below zero': JSON.stringify(createInstanceEntry('127.0.1.9:-1')),
  'an address out of range': JSON.stringify(
    createInstanceEntry('999.0.0.1:8000'),
  ),
  'an empty value': '',
  'no object': 'null',
  'bytes that are no text': '\u0000\ufffd{',
};

/** Sound by their schema, and of no use. */
const USELESS: Readonly<Record<string, string>> = {
  'an unknown nested member': createEntryWith('extra', NESTED),
  'a large unknown member': createEntryWith(
    'extra',
    `"${'x'.repeat(600_000)}"`,
  ),
  'the most slots': createEntryWith('slots', String(Number.MAX_SAFE_INTEGER)),
  'a large time of birth': createEntryWith('born', '1e308'),
  'a long cold start': createEntryWith('cold-left', `"${'9'.repeat(300)}ms"`),
};

/** Keys before, among and after those of the sound entries. */
const KEYS = ['servers/!odd', 'servers/i-2odd', 'servers/~odd'];

describe('an odd entry in the list', () => {
  let fleet: FleetStandin<ProcessMachine>;
  let slots = 10;

  before(async () => {
    fleet = new FleetStandin((...args) => new ProcessMachine(...args));
    await fleet.start(3);
  });

  after(() => fleet.stop());

  /** Changes a sound entry, and waits until all proxies have the change. */
  async function expectFollowed(): Promise<void> {
    slots += 1;
    fleet.register(3, {slots, seq: slots});
    for (const machine of fleet.machines) {
      await waitForFleet(async () => {
        const {instances} = await fleet.readStatus(machine);
        return instances.some(({id, slots: n}) => id === 'i-3' && n === slots);
      });
    }
  }

  async function listIds(machine: ProcessMachine): Promise<string[]> {
    const {instances} = await fleet.readStatus(machine);
    return instances.map(({id}) => id).sort();
  }

  // Guards against LOST: processes that end by themselves or stop following the list.
  for (const [name, value] of Object.entries({...INVALID, ...USELESS})) {
    it(`with ${name} stops no proxy`, async () => {
      const pids = fleet.machines.map(({pid}) => pid);
      KEYS.forEach(key => fleet.store.put(key, value));
      await expectFollowed();
      for (const machine of fleet.machines) {
        if (name in INVALID) {
          expect(await listIds(machine)).to.deep.equal(['i-1', 'i-2', 'i-3']);
        }
        for (let n = 0; n < 4; n += 1) {
          const {status} = await machine.call(
            'GET',
            `/read/${name.length}-${n}`,
          );
          expect(status).to.equal(200);
        }
      }
      const [first] = fleet.machines;
      await first.kill();
      await first.start();
      await waitForFleet(() => first.isReady());
      expect((await first.call('GET', '/read/started')).status).to.equal(200);
      KEYS.forEach(key => fleet.store.remove(key));
      await expectFollowed();
      expect(await listIds(first)).to.deep.equal(['i-1', 'i-2', 'i-3']);
      const others = fleet.machines.slice(1).map(({pid}) => pid);
      expect(others).to.deep.equal(pids.slice(1));
    });
  }
});
