/** Runs the random tests of test/differential longer, or with another seed. */
import {spawnSync} from 'node:child_process';
import {Command, InvalidArgumentError} from 'commander';

function parsePositiveInteger(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new InvalidArgumentError('Give a whole number above 0.');
  }
  return value;
}

const program = new Command('fuzz')
  .description('runs the differential tests and the random interleavings')
  .option(
    '--runs <count>',
    'runs of each property',
    parsePositiveInteger,
    1_000,
  )
  .option('--seed <number>', 'seed of all properties', parsePositiveInteger, 1)
  .option('--only <text>', 'runs the tests whose title has this text')
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
