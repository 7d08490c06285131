/** The faults under which candidates are compared. */
import {
  CAPACITY_PER_SECOND,
  Experiment,
  OWNER_COUNT,
  ZONES,
} from './experiment.js';
import {Measures, computeMeasures, PhaseTimes} from './measures.js';

/** Time without calls in which all proxies become ready. */
const STARTUP_MS = 3_000;

/** Interval between the results of health probes. */
const PROBE_INTERVAL_MS = 1_000;

/** Offered load before and after a fault. */
const NORMAL_CALLS_PER_SECOND = 0.6 * CAPACITY_PER_SECOND;

/** Durations of the phases of a run, in milliseconds. */
export interface Durations {
  readonly before: number;
  readonly fault: number;
  readonly after: number;
}

/** A fault that can be injected into an experiment and removed again. */
export interface Fault {
  readonly name: string;
  /** Heading of the table of results. */
  readonly title: string;
  begin(experiment: Experiment): void;
  end(experiment: Experiment): void;
}

/** One upstream takes ten times as long. */
class SlowUpstream implements Fault {
  readonly name = 'slow';
  readonly title = 'one target ten times slower';

  begin(experiment: Experiment): void {
    experiment.upstreams[0].slowness = 10;
  }

  end(experiment: Experiment): void {
    experiment.upstreams[0].slowness = 1;
  }
}

/** One upstream is down but reports healthy; the others report draining. */
class MisleadingHealth implements Fault {
  readonly name = 'misleading';
  readonly title = 'one target down, and health endpoints that mislead';

  private isActive = false;

  begin(experiment: Experiment): void {
    experiment.upstreams[0].isDown = true;
    this.isActive = true;
    this.reportHealth(experiment);
  }

  end(experiment: Experiment): void {
    experiment.upstreams[0].isDown = false;
    this.isActive = false;
  }

  private reportHealth(experiment: Experiment): void {
    const {clock, owners} = experiment;
    owners.forEach((owner, n) =>
      owner.processEvent({
        kind: 'upstreamProbed',
        healthy: true,
        draining: this.isActive && n > 0,
      }),
    );
    if (this.isActive) {
      clock.schedule(clock.now + PROBE_INTERVAL_MS, () =>
        this.reportHealth(experiment),
      );
    }
  }
}

/** Half of the upstreams restart with cold caches. */
class ColdCaches implements Fault {
  readonly name = 'cold';
  readonly title = 'half of the service cold';

  begin(experiment: Experiment): void {
    for (let n = 0; n < OWNER_COUNT / 2; n += 1) {
      experiment.upstreams[n].clearCache();
      // The slow start begins again, as after a crash of the upstream.
      experiment.owners[n].state.owner.admission.upSince = undefined;
    }
  }

  end(): void {}
}

/** The offered load is three times the capacity of the service. */
class Overload implements Fault {
  readonly name = 'overload';
  readonly title = 'demand three times capacity';

  begin(experiment: Experiment): void {
    experiment.offeredCallsPerSecond = 3 * CAPACITY_PER_SECOND;
  }

  end(experiment: Experiment): void {
    experiment.offeredCallsPerSecond = NORMAL_CALLS_PER_SECOND;
  }
}

/** One availability zone is partitioned from the others. */
class ZonePartition implements Fault {
  readonly name = 'cut';
  readonly title = 'one zone cut off';

  begin(experiment: Experiment): void {
    [, , experiment.isolatedZone] = ZONES;
  }

  end(experiment: Experiment): void {
    experiment.isolatedZone = undefined;
  }
}

/** All callers are in one zone. */
class SingleZoneLoad implements Fault {
  readonly name = 'hot';
  readonly title = 'all calls from one zone';

  begin(experiment: Experiment): void {
    [experiment.onlyCallerZone] = ZONES;
  }

  end(experiment: Experiment): void {
    experiment.onlyCallerZone = undefined;
  }
}

export const FAULTS: readonly Fault[] = [
  new SlowUpstream(),
  new MisleadingHealth(),
  new ColdCaches(),
  new Overload(),
  new ZonePartition(),
  new SingleZoneLoad(),
];

/**
 * Runs an experiment before, during and after a fault.
 * @param experiment - A new experiment.
 * @param fault - The fault to inject.
 * @param durations - Durations of the phases.
 * @returns The measures of the run.
 */
export function runFault(
  experiment: Experiment,
  fault: Fault,
  durations: Durations,
): Measures {
  experiment.run(STARTUP_MS);
  experiment.offeredCallsPerSecond = NORMAL_CALLS_PER_SECOND;
  experiment.run(durations.before);
  const faultBeganAt = experiment.clock.now;
  fault.begin(experiment);
  experiment.run(durations.fault);
  const faultEndedAt = experiment.clock.now;
  fault.end(experiment);
  experiment.run(durations.after);
  const runEndedAt = experiment.clock.now;
  experiment.offeredCallsPerSecond = 0;
  experiment.run(durations.before);
  const phases: PhaseTimes = {
    faultBeganAt,
    faultEndedAt,
    runEndedAt,
  };
  return computeMeasures(experiment.records, phases);
}
