#!/usr/bin/env node
/** Compares policies under simulated load and faults, on a virtual clock. */
import {Command} from 'commander';
import {
  createExperimentPlan,
  runExperiments,
} from '../experiments/run_experiments.js';
import {createTables} from '../experiments/tables.js';

const DEFAULT_SEED = 20_261_203;
const DEFAULT_RUNS = 5;

interface Options {
  readonly quick?: boolean;
  readonly seed: string;
  readonly runs: string;
  readonly entries?: string;
  readonly comparison?: string[];
  readonly fault?: string[];
}

const opts = new Command('fireflysill-experiments')
  .description('Compares policies under load and faults; see docs/policy.md.')
  .option(
    '--quick',
    'one seed, short faults and the baselines, within 30 seconds',
  )
  .option('--seed <number>', 'first seed', String(DEFAULT_SEED))
  .option(
    '--runs <number>',
    'number of seeds in a full run',
    String(DEFAULT_RUNS),
  )
  .option('--entries <number>', 'number of entries that receive calls')
  .option('--comparison <name...>', 'only these comparisons')
  .option('--fault <name...>', 'only these faults')
  .parse()
  .opts<Options>();

const plan = {
  ...createExperimentPlan(
    opts.quick ?? false,
    Number(opts.seed),
    Number(opts.runs),
  ),
  entryCount: opts.entries === undefined ? undefined : Number(opts.entries),
  comparisons:
    opts.comparison ?? (opts.quick === true ? ['baselines'] : undefined),
  faults: opts.fault,
};
const startedAt = Date.now();
const results = runExperiments(plan, seed => {
  const seconds = Math.round((Date.now() - startedAt) / 1_000);
  console.error(`Seed ${seed} done after ${seconds} s.`);
});
console.log(createTables(results).join('\n'));
console.log(`\nSeeds: ${plan.seeds.join(', ')}.`);
