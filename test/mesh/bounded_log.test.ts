/** The log of a process that ends: collected lines are not lost. */
import {execFile} from 'node:child_process';
import {promisify} from 'node:util';
import {expect} from '../support/chai_setup.js';

const LINES = 30;

/** Writes lines, then runs a statement. */
function createScript(end: string): string {
  return `
    import {BoundedLog} from './src/mesh/bounded_log.ts';
    const log = new BoundedLog('p', 'info', () => undefined);
    process.on('exit', () => log.writePending());
    for (let n = 0; n < ${LINES}; n += 1) {
      log.write('fleet', n === 9 ? 'warn' : 'info', 'Line.', {n});
    }
    ${end}`;
}

async function readLines(end: string): Promise<number[]> {
  const args = ['--import', 'tsx', '--input-type=module', '-e'];
  const {stdout} = await promisify(execFile)(process.execPath, [
    ...args,
    createScript(end),
  ]);
  const lines = stdout.trim().split('\n');
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
    const wait = `await new Promise(resolve => setTimeout(resolve, 150));
      process.kill(process.pid, 'SIGKILL');`;
    const failed = await readLines(wait).catch(
      (error: {stdout: string}) => error.stdout,
    );
    expect(String(failed).trim().split('\n')).to.have.length(LINES);
  }).timeout(20_000);
});
