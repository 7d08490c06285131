#!/usr/bin/env node
/** Runs the benchmarks; the last line of output is a JSON summary. */
import {loadavg} from 'node:os';
import {Command, Option} from 'commander';
import {
  BENCH_PARTS,
  BenchPart,
  createBenchPlan,
  filterFleetSizes,
} from '../bench/bench_plan.js';
import {runBench} from '../bench/run_bench.js';
import {summarizeBench} from '../bench/bench_summary.js';

const DEFAULT_SEED = 20_261_203;

interface Options {
  readonly quick?: boolean;
  readonly seed: string;
  readonly sizes?: string[];
  readonly part?: BenchPart[];
}

const program = new Command('fireflysill-bench')
  .description(
    'Measures added latency, throughput, convergence and control traffic.',
  )
  .option('--quick', 'finish within 45 seconds')
  .option(
    '--seed <number>',
    'seed of the random schedules',
    String(DEFAULT_SEED),
  )
  .option('--sizes <number...>', 'only fleets of these sizes')
  .addOption(
    new Option('--part <name...>', 'only these parts').choices(BENCH_PARTS),
  )
  .parse();

const opts = program.opts<Options>();
const plan = filterFleetSizes(
  createBenchPlan(opts.quick ?? false, Number(opts.seed)),
  opts.sizes?.map(Number),
);
const parts = new Set(opts.part ?? BENCH_PARTS);
// Load of the machine distorts all figures, so the summary includes it.
const [loadBefore] = loadavg();
const results = await runBench(plan, parts, line => console.log(line));
const summary = {
  ...summarizeBench(plan, results),
  load_average: [loadBefore, loadavg()[0]],
};
console.log(JSON.stringify(summary));
process.exit(0);
