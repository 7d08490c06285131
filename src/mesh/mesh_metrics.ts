/** Prometheus metrics of a proxy in a fleet of self-registering upstreams. */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {MeshCounter, MeshEffect} from '../core/mesh/mesh_types.js';
import {REFUSALS} from '../core/refusals.js';

type HistogramName =
  Extract<MeshEffect, {kind: 'observe'}>['histogram'] | 'link_wait_seconds';
type CounterName =
  | MeshCounter
  | 'bad_input'
  | 'event_loop_stalled'
  | 'unknown_input'
  | 'internal_error'
  | 'log_dropped'
  | 'memory'
  | 'start_retry'
  | 'reload';

const COUNTER_HELP: Readonly<Record<CounterName, string>> = {
  call_refused: 'Calls that got no upstream answer, by reason.',
  call_retried: 'Second sends made or denied, by what caused them.',
  call_answered: 'Calls that got an upstream answer, by class of status.',
  attempt_refused: 'Attempts that this owner refused, by reason.',
  late_read:
    'Requests and attempts that were read late, by what was done with them.',
  source_call: 'Calls to the source, by kind or failure.',
  stop_cut: 'Requests and answers that the end of a planned stop cut, by role.',
  version_adopted: 'Versions put in force, by where they came from.',
  update_ignored: 'Updates that changed nothing, by reason.',
  update_repaired: 'Questions to peers for missed updates, by cause.',
  instance_changed: 'Changes of registered upstreams, by kind.',
  zone_changed: 'Zones evacuated or taken back.',
  peer_message: 'Messages from peers, by kind.',
  poller_excluded:
    'Proxies that no longer wait for the next version, by what showed it.',
  crash_suspected: 'Requests suspected, cleared or quarantined after a crash.',
  upstream_failed: 'Dispatches that got no whole answer, by failure.',
  upstream_report:
    'Limits and departures that the upstream reported in its answers, by kind.',
  cold_limit: 'Begins and ends of the limit for a cold upstream, by cause.',
  link_changed: 'Links to peers opened or closed.',
  bad_input: 'Malformed input refused, by kind.',
  event_loop_stalled:
    'Times that the event loop stood still for half a second or more, by cause.',
  unknown_input: 'Values that this build does not know, by kind.',
  internal_error: 'Unexpected errors, by event or origin.',
  memory:
    'Reservations refused, transfers given up and collections for want of memory.',
  log_dropped: 'Log lines dropped because too many came at once.',
  start_retry: 'Attempts to start that failed before this start, by cause.',
  reload: 'Settings files read again, by outcome.',
};

const HISTOGRAM_HELP: Readonly<Record<HistogramName, string>> = {
  call_seconds: 'Time from a call to its upstream answer.',
  run_seconds: 'Time that requests run at the upstream.',
  wait_seconds: 'Time that attempts wait for a slot.',
  link_wait_seconds:
    'Time from the end of a run, or from a request, until its large body is written.',
  version_delay_seconds:
    'Time from the first delivery of a version by the source to its adoption here.',
};

/** Upper bounds of histogram buckets; route aims range from 0.1 to 2 s. */
const BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/** Observations that are kept until a scrape; more are passed on at once. */
const MAX_PENDING_OBSERVATIONS = 1_000;

/** Gauge values, read on each collection; the keys are label values. */
export interface GaugeValues {
  readonly version: number;
  readonly revision: number;
  readonly knowledge_age_seconds: number;
  /** Time since the version in force was known to be the latest; -1: never. */
  readonly config_age_seconds: number;
  readonly ready: number;
  readonly calls: number;
  readonly running: number;
  readonly queued: number;
  /** Requests per second that the upstream accepts; -1: no limit. */
  readonly upstream_limit: number;
  /** Requests per second that the upstream gets while it is cold; -1: all. */
  readonly upstream_cold_limit: number;
  /** 1 if the upstream has reported that it is leaving. */
  readonly upstream_leaving: number;
  readonly evacuated_zones: number;
  readonly link_sent_bytes: number;
  readonly link_received_bytes: number;
  /** Bytes of large bodies that wait for the VM's bandwidth or their reader. */
  readonly link_waiting_bytes: number;
  /** Time that the request bodies take which peers have offered. */
  readonly link_arriving_ms: number;
  /** Bytes held for callers, peers and upstreams. */
  readonly memory_held_bytes: number;
  readonly processor_seconds: number;
  readonly peak_resident_bytes: number;
}

/** Observations since the last scrape, and what passes them on. */
interface PendingHistogram {
  readonly values: number[];
  readonly flush: () => void;
}

/**
 * Registers all metrics under the prefix `fireflysill_`. Counts and observations
 * are kept in plain collections until a scrape collects them: each call makes
 * about ten.
 */
export class MeshMetrics {
  readonly registry = new Registry();
  /** Counts since the last scrape, by counter and reason. */
  private readonly pending = new Map<CounterName, Map<string, number>>();
  private readonly histograms = new Map<HistogramName, PendingHistogram>();

  constructor(getGaugeValues: () => GaugeValues) {
    const registers = [this.registry];
    for (const [name, help] of Object.entries(COUNTER_HELP)) {
      const counts = new Map<string, number>();
      this.pending.set(name as CounterName, counts);
      const counter: Counter<'reason'> = new Counter({
        name: `fireflysill_${name}_total`,
        help,
        labelNames: ['reason'] as const,
        registers,
        collect() {
          counts.forEach((count, reason) => counter.inc({reason}, count));
          counts.clear();
        },
      });
    }
    for (const reason of Object.keys(REFUSALS)) {
      this.count('call_refused', reason, 0);
    }
    for (const [name, help] of Object.entries(HISTOGRAM_HELP)) {
      const values: number[] = [];
      const flush = () =>
        values.splice(0).forEach(seconds => histogram.observe(seconds));
      const histogram: Histogram = new Histogram({
        name: `fireflysill_${name}`,
        help,
        buckets: BUCKETS_SECONDS,
        registers,
        collect: flush,
      });
      this.histograms.set(name as HistogramName, {values, flush});
    }
    const gauge: Gauge<'level'> = new Gauge({
      name: 'fireflysill_level',
      help: 'Present state: versions, ages in seconds, counts and bytes.',
      labelNames: ['level'] as const,
      registers,
      collect() {
        for (const [name, value] of Object.entries(getGaugeValues())) {
          gauge.set({level: name}, value as number);
        }
      },
    });
  }

  count(counter: CounterName, reason: string, step = 1): void {
    const counts = this.pending.get(counter);
    counts?.set(reason, (counts.get(reason) ?? 0) + step);
  }

  observe(histogram: HistogramName, seconds: number): void {
    const pending = this.histograms.get(histogram);
    pending?.values.push(seconds);
    if ((pending?.values.length ?? 0) >= MAX_PENDING_OBSERVATIONS) {
      pending?.flush();
    }
  }
}
