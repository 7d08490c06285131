/** The log of a process that ends: collected lines are not lost. */
import {execFile} from 'node:child_process';
import {promisify} from 'node:util';
import {expect} from '../support/chai_setup.js';

const LINES = 30;

/** Waits for some milliseconds, then ends without a chance to write. */
function createKill(afterMs: number): string {
  return `await new Promise(resolve => setTimeout(resolve, ${afterMs}));
    process.kill(process.pid, 'SIGKILL');`;
}

/** Writes lines, the tenth of another level, then runs a statement. */
function createScript(end: string, level = 'info'): string {
  return `
    import {BoundedLog} from './src/mesh/bounded_log.ts';
    const log = new BoundedLog('p', 'info', () => undefined);
    process.on('exit', () => log.writePending());
    for (let n = 0; n < ${LINES}; n += 1) {
      log.write('fleet', n === 9 ? '${level}' : 'info', 'Line.', {n});
    }
    ${end}`;
}

async function readLines(end: string, level?: string): Promise<number[]> {
  const args = ['--import', 'tsx', '--input-type=module', '-e'];
  const {stdout} = await promisify(execFile)(process.execPath, [
    ...args,
    createScript(end, level),
  ]).catch((error: {stdout: string}) => error);
  const lines = stdout.split('\n').filter(line => line !== '');
  return lines.map(line => (JSON.parse(line) as {n: number}).n);
}

describe('log of a process', () => {
  const expected = Array.from({length: LINES}, (_, n) => n);

  it('writes all lines once, in order, before the process exits', async () => {
    expect(await readLines('process.exit(0);')).to.deep.equal(expected);
  }).timeout(20_000);

  it('writes all lines once, in order, when it is drained', async () => {
    const drain = 'await log.drain(); process.exit(0);';
    expect(await readLines(drain)).to.deep.equal(expected);
  }).timeout(20_000);

  // Guards against warnings that wait as long as the lines of calls.
  it('writes warnings, and what precedes them, soon', async () => {
    expect(await readLines(createKill(150), 'warn')).to.deep.equal(expected);
  }).timeout(20_000);

  // Guards against a write for each line.
  it('collects other lines for longer', async () => {
    expect(await readLines(createKill(150))).to.deep.equal([]);
    expect(await readLines(createKill(600))).to.deep.equal(expected);
  }).timeout(20_000);
});
