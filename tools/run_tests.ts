/**
 * Runs the test files with mocha, tolerates failures that KNOWN-RED.txt lists,
 * and prints one line of counts at the end.
 *
 * Arguments: part of the path of the test files, part of the test titles.
 */
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import Mocha from 'mocha';

const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
const TEST_TIMEOUT_MS = 120_000;

/**
 * Reads the titles of tests that may fail, from the lines `test: <full title>`.
 */
function readKnownFailures(): ReadonlySet<string> {
  if (!existsSync(KNOWN_FAILURES_FILE)) {
    return new Set();
  }
  const titles = readFileSync(KNOWN_FAILURES_FILE, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
  return new Set(titles);
}

function findTestFiles(dir: string): string[] {
  return readdirSync(dir, {recursive: true, encoding: 'utf8'})
    .filter(file => file.endsWith('.test.ts'))
    .map(file => join(dir, file))
    .sort();
}

/**
 * Runs test files; resolves to counts and the full titles of the failed tests.
 */
async function runMocha(files: readonly string[], grep: string | undefined) {
  const mocha = new Mocha({timeout: TEST_TIMEOUT_MS, reporter: 'spec'});
  if (grep !== undefined) {
    mocha.grep(grep);
  }
  for (const file of files) {
    mocha.addFile(file);
  }
  await mocha.loadFilesAsync();
  const failed: string[] = [];
  return new Promise<{passed: number; skipped: number; failed: string[]}>(
    resolve => {
      const runner = mocha.run(() => {
        const stats = runner.stats;
        resolve({
          passed: stats?.passes ?? 0,
          skipped: stats?.pending ?? 0,
          failed,
        });
      });
      runner.on('fail', test => failed.push(test.fullTitle()));
    },
  );
}

async function main(): Promise<void> {
  // Options such as `--update` are read by the snapshot plugin.
  const [filter, grep] = process.argv
    .slice(2)
    .filter(argument => !argument.startsWith('--'));
  const files = findTestFiles('test').filter(
    file => filter === undefined || file.includes(filter),
  );
  const knownFailures = readKnownFailures();
  const result = await runMocha(files, grep);
  const expectedFailures = result.failed.filter(title =>
    knownFailures.has(title),
  );
  const unexpectedFailures = result.failed.filter(
    title => !knownFailures.has(title),
  );
  for (const title of expectedFailures) {
    console.log(`known failure, see ${KNOWN_FAILURES_FILE}: ${title}`);
  }
  console.log(
    `${result.passed} passed, ${unexpectedFailures.length} failed, ` +
      `${result.skipped + expectedFailures.length} skipped`,
  );
  process.exit(unexpectedFailures.length === 0 && result.passed > 0 ? 0 : 1);
}

void main();
