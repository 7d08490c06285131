/** Summarizes the metrics of a bench run in one JSON object. */
import {PercentileSummaries} from './call_latency.js';
import {CoreCost} from './core_cost.js';
import {BenchPlan} from './bench_plan.js';
import {BenchResults, FleetResult} from './run_bench.js';
import {fitLine, round, SampleSummary} from './stats.js';

type MetricValue = number | string | null;

/** Lists median, minimum and maximum; the range shows how noisy the run was. */
function toMetricValues(
  summary: SampleSummary | undefined,
): MetricValue[] | null {
  return summary === undefined
    ? null
    : [summary.median, summary.min, summary.max].map(value => round(value));
}

/** Adds the median and the range of a metric at p50 and p99 to an object. */
function addPercentiles(
  target: Record<string, unknown>,
  name: string,
  unit: string,
  summaries: PercentileSummaries | undefined,
): void {
  for (const percentile of ['p50', 'p99'] as const) {
    const summary = summaries?.[percentile];
    const key = `${name}_${percentile}${unit}`;
    target[key] = summary === undefined ? null : round(summary.median);
    target[`${key}_range`] = toMetricValues(summary)?.slice(1) ?? null;
  }
}

/**
 * Summarizes a bench run.
 * @param plan - What was measured.
 * @param results - The measurements.
 * @returns The metrics by name; null where the part did not run.
 */
export function summarizeBench(
  plan: BenchPlan,
  results: BenchResults,
): Record<string, unknown> {
  const {share, peak, chains, throughput, fleet, core} = results;
  const metrics: Record<string, unknown> = {seed: plan.seed};
  addPercentiles(metrics, 'added', '_ms', share?.added);
  addPercentiles(metrics, 'added_over_bare', '', share?.addedOverBare);
  addPercentiles(metrics, 'added_bare', '_ms', share?.addedBare);
  addPercentiles(metrics, 'added_own', '_ms', share?.addedOwn);
  addPercentiles(metrics, 'added_own_over_bare', '', share?.addedOwnOverBare);
  addPercentiles(metrics, 'added_peak', '_ms', peak?.added);
  addPercentiles(metrics, 'added_peak_over_bare', '', peak?.addedOverBare);
  addPercentiles(metrics, 'added_chain_each', '_ms', chains?.addedPerCall);
  addPercentiles(metrics, 'added_chain_over_bare', '', chains?.addedOverBare);
  metrics['failed_calls'] =
    (share?.failed ?? 0) +
    (peak?.failed ?? 0) +
    (chains?.failed ?? 0) +
    (throughput?.failed ?? 0);
  for (const [key, summary] of [
    ['max_calls_per_second', throughput?.callsPerSecond],
    ['max_bare_calls_per_second', throughput?.bareCallsPerSecond],
    ['entry_us_per_call', throughput?.entryUsPerCall],
    ['owner_us_per_call', throughput?.ownerUsPerCall],
    ['bare_entry_us_per_call', throughput?.bareEntryUsPerCall],
    ['bare_owner_us_per_call', throughput?.bareOwnerUsPerCall],
  ] as const) {
    metrics[key] = summary === undefined ? null : round(summary.median, 1);
  }
  return {
    ...metrics,
    ...summarizeFleets(fleet),
    core: core.map(summarizeCore),
  };
}

/**
 * Summarizes all fleets; the top-level metrics are those of the largest `tree`.
 */
function summarizeFleets(
  fleet: readonly FleetResult[],
): Record<string, unknown> {
  const largest = fleet.filter(({variant}) => variant === 'tree').at(-1);
  const variants = [...new Set(fleet.map(({variant}) => variant))];
  return {
    convergence_p50_ms: round(largest?.convergenceMs.median ?? NaN, 0),
    convergence_p99_ms: round(largest?.convergenceMs.p99 ?? NaN, 0),
    control_bytes_per_node_per_second: round(
      largest?.atRest.bytesPerSecond ?? NaN,
      0,
    ),
    source_calls_per_change: round(largest?.sourceCallsPerChange ?? NaN, 2),
    fleet: fleet.map(summarizeFleet),
    slopes: Object.fromEntries(
      variants.map(name => [
        name,
        computeSlopes(fleet.filter(({variant}) => variant === name)),
      ]),
    ),
  };
}

function summarizeFleet(result: FleetResult): Record<string, unknown> {
  const {restart, atRest, inBurst} = result;
  return {
    variant: result.variant,
    size: result.size,
    convergence_p50_ms: round(result.convergenceMs.median, 0),
    convergence_p99_ms: round(result.convergenceMs.p99, 0),
    adoption_p50_ms: round(result.adoptionMs.p50, 0),
    adoption_p99_ms: round(result.adoptionMs.p99, 0),
    source_calls_per_change: round(result.sourceCallsPerChange, 2),
    rest_bytes_per_node_per_second: round(atRest.bytesPerSecond, 0),
    rest_core_percent: round(atRest.corePercent, 2),
    rest_source_calls_per_second: round(atRest.sourceCalls / atRest.seconds, 2),
    burst_bytes_per_node_per_second: round(inBurst.bytesPerSecond, 0),
    burst_core_percent: round(inBurst.corePercent, 2),
    burst_source_calls: inBurst.sourceCalls,
    burst_convergence_ms: round(result.burstConvergenceMs, 0),
    restart_ready_ms: round(restart?.readyMs ?? NaN, 0),
    restart_source_calls: restart?.cost.sourceCalls ?? null,
    restart_bytes_per_node: round(
      (restart?.cost.bytesPerSecond ?? NaN) * (restart?.cost.seconds ?? NaN),
      0,
    ),
    start_ms: round(result.startMs.median, 0),
    resident_mb_each: round(result.residentMbEach.median, 1),
  };
}

/** Computes by how much each metric grows with each additional proxy. */
function computeSlopes(
  fleet: readonly FleetResult[],
): Record<string, MetricValue> {
  const getSlope = (getValue: (result: FleetResult) => number) =>
    round(
      fitLine(fleet.map(result => [result.size, getValue(result)])).slope,
      4,
    );
  return {
    convergence_ms: getSlope(result => result.convergenceMs.median),
    rest_bytes_per_second: getSlope(result => result.atRest.bytesPerSecond),
    rest_core_percent: getSlope(result => result.atRest.corePercent),
    source_calls_per_change: getSlope(result => result.sourceCallsPerChange),
    restart_ready_ms: getSlope(result => result.restart?.readyMs ?? NaN),
    restart_source_calls: getSlope(
      result => result.restart?.cost.sourceCalls ?? NaN,
    ),
  };
}

function summarizeCore(cost: CoreCost): Record<string, MetricValue> {
  return {
    size: cost.size,
    idle_us_per_second: round(cost.idleUsPerSecond.median, 0),
    change_us: round(cost.changeUs.median, 0),
    entry_call_us: round(cost.entryCallUs.median, 1),
    owner_call_us: round(cost.ownerCallUs.median, 1),
    gossip_parse_us: round(cost.gossipParseUs.median, 0),
    state_parse_us: round(cost.stateParseUs.median, 0),
    state_bytes: cost.stateBytes,
    gossip_bytes: cost.gossipBytes,
    change_bytes: cost.changeBytes,
    messages_per_change: cost.messagesPerChange,
    heap_mb: round(cost.heapMb, 2),
    key_record_bytes: round(cost.keyRecordBytes ?? NaN, 0),
  };
}
