/**
 * Runs the property tests of test/differential with more runs or another seed.
 */
import {spawnSync} from 'node:child_process';
import {Command, InvalidArgumentError} from 'commander';

function parsePositiveInteger(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new InvalidArgumentError('It must be an integer greater than 0.');
  }
  return value;
}

const program = new Command('fuzz')
  .description(
    'runs the differential tests and the tests of random interleavings',
  )
  .option(
    '--runs <count>',
    'number of runs of each property',
    parsePositiveInteger,
    1_000,
  )
  .option(
    '--seed <number>',
    'random seed of all properties',
    parsePositiveInteger,
    1,
  )
  .option('--only <text>', 'run only the tests whose title contains this text')
  .parse();

const {runs, seed, only} = program.opts<{
  runs: number;
  seed: number;
  only?: string;
}>();
console.log(`fuzz: ${runs} runs, seed ${seed}`);
const filter = only === undefined ? [] : [only];
const result = spawnSync(
  process.execPath,
  ['--import', 'tsx', 'tools/run_tests.ts', 'differential', ...filter],
  {
    stdio: 'inherit',
    env: {...process.env, FUZZ_RUNS: String(runs), FUZZ_SEED: String(seed)},
  },
);
process.exit(result.status ?? 1);
