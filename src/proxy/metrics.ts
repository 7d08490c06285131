/** Prometheus metrics of one proxy. */
import {collectDefaultMetrics, Counter, Gauge, Registry} from 'prom-client';
import {REFUSALS} from '../core/refusals.js';
import {CounterName} from '../core/types.js';

const COUNTER_HELP: Readonly<Record<CounterName, string>> = {
  call_refused: 'Calls that got no upstream answer, by reason.',
  call_retried: 'Retries made or denied, by what caused them.',
  attempt_refused: 'Attempts that this owner refused, by reason.',
  submission_accepted: 'Submissions folded and accepted.',
  submission_refused: 'Submissions folded and refused, by reason.',
  update_ignored: 'Configuration updates that changed nothing, by reason.',
  version_adopted: 'Versions put in force.',
  source_call: 'Calls to the platform, by kind or failure.',
  peer_message: 'Control messages received, by kind.',
  digest_mismatch: 'Digests that differ from a peer at the same sequence.',
  crash_suspected: 'Requests suspected, cleared or quarantined after a crash.',
  key_closed: 'Idempotency keys closed, by verdict.',
  key_asked: 'Questions to former homes of a key.',
  member_changed: 'Proxies seen to leave or to return.',
  bad_input: 'Malformed input refused before it reached the core, by kind.',
};

/** Values of the gauges, read each time the metrics are collected. */
export interface GaugeValues {
  readonly version: number;
  readonly sequence: number;
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly running: number;
  readonly queued: number;
  readonly keyRecords: number;
  readonly controlBytesSent: number;
  readonly controlBytesReceived: number;
}

export class ProxyMetrics {
  readonly registry = new Registry();
  private readonly counters = new Map<CounterName, Counter<'reason'>>();

  constructor(getGaugeValues: () => GaugeValues) {
    collectDefaultMetrics({register: this.registry});
    for (const [name, help] of Object.entries(COUNTER_HELP)) {
      const counter = new Counter({
        name: `fireflysill_${name}_total`,
        help,
        labelNames: ['reason'] as const,
        registers: [this.registry],
      });
      this.counters.set(name as CounterName, counter);
    }
    for (const reason of Object.keys(REFUSALS)) {
      this.counters.get('call_refused')?.inc({reason}, 0);
      this.counters.get('attempt_refused')?.inc({reason}, 0);
    }
    this.addGauge(
      'version',
      'Version in force.',
      () => getGaugeValues().version,
    );
    this.addGauge(
      'sequence',
      'Last submission folded.',
      () => getGaugeValues().sequence,
    );
    this.addGauge('ready', '1 while the proxy serves calls.', () =>
      Number(getGaugeValues().ready),
    );
    this.addGauge('leaving', '1 while the upstream takes no new work.', () =>
      Number(getGaugeValues().leaving),
    );
    this.addGauge(
      'running',
      'Requests that the upstream runs.',
      () => getGaugeValues().running,
    );
    this.addGauge(
      'queued',
      'Requests that wait for a slot.',
      () => getGaugeValues().queued,
    );
    this.addGauge(
      'key_records',
      'Idempotency keys remembered.',
      () => getGaugeValues().keyRecords,
    );
    this.addGauge(
      'control_sent_bytes',
      'Bytes of control messages sent, without HTTP headers.',
      () => getGaugeValues().controlBytesSent,
    );
    this.addGauge(
      'control_received_bytes',
      'Bytes of control messages received, without HTTP headers.',
      () => getGaugeValues().controlBytesReceived,
    );
  }

  count(counter: CounterName, reason: string): void {
    this.counters.get(counter)?.inc({reason});
  }

  private addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `fireflysill_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }
}
