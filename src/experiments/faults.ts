/** The faults under which candidates are compared. */
import {CAPACITY, Experiment, OWNER_COUNT, ZONES} from './experiment.js';
import {Measures, measure, Phases} from './measures.js';

/** Time in which all proxies become ready, without calls. */
const START_MS = 3_000;

const PROBE_INTERVAL_MS = 1_000;

const NORMAL_DEMAND = 0.6 * CAPACITY;

/** How long the parts of a run take, in milliseconds. */
export interface Durations {
  readonly before: number;
  readonly fault: number;
  readonly after: number;
}

export interface Fault {
  readonly name: string;
  readonly title: string;
  begin(experiment: Experiment): void;
  end(experiment: Experiment): void;
}

/** One of the targets takes ten times as long. */
class SlowTarget implements Fault {
  readonly name = 'slow';
  readonly title = 'one target ten times slower';

  begin(experiment: Experiment): void {
    experiment.upstreams[0].slowness = 10;
  }

  end(experiment: Experiment): void {
    experiment.upstreams[0].slowness = 1;
  }
}

/** One target is down and says it is well; the others say that they drain. */
class MisleadingHealth implements Fault {
  readonly name = 'misleading';
  readonly title = 'one target down, and health endpoints that mislead';

  private misleads = false;

  begin(experiment: Experiment): void {
    experiment.upstreams[0].isDown = true;
    this.misleads = true;
    this.probe(experiment);
  }

  end(experiment: Experiment): void {
    experiment.upstreams[0].isDown = false;
    this.misleads = false;
  }

  private probe(experiment: Experiment): void {
    const {clock, owners} = experiment;
    owners.forEach((owner, n) =>
      owner.post({
        kind: 'upstreamProbed',
        healthy: true,
        draining: this.misleads && n > 0,
      }),
    );
    if (this.misleads) {
      clock.plan(clock.now + PROBE_INTERVAL_MS, () => this.probe(experiment));
    }
  }
}

/** Half of the service forgets its caches and takes ten times as long. */
class HalfCold implements Fault {
  readonly name = 'cold';
  readonly title = 'half of the service cold';

  begin(experiment: Experiment): void {
    for (let n = 0; n < OWNER_COUNT / 2; n += 1) {
      experiment.upstreams[n].makeCold();
      // Its process has started again, as after a crash.
      experiment.owners[n].state.owner.admission.upSince = undefined;
    }
  }

  end(): void {}
}

/** Callers want three times what the service can do. */
class Overload implements Fault {
  readonly name = 'overload';
  readonly title = 'demand three times capacity';

  begin(experiment: Experiment): void {
    experiment.demand = 3 * CAPACITY;
  }

  end(experiment: Experiment): void {
    experiment.demand = NORMAL_DEMAND;
  }
}

/** One availability zone is cut off from the others. */
class ZoneCut implements Fault {
  readonly name = 'cut';
  readonly title = 'one zone cut off';

  begin(experiment: Experiment): void {
    [, , experiment.cutZone] = ZONES;
  }

  end(experiment: Experiment): void {
    experiment.cutZone = undefined;
  }
}

/** All callers are in one zone. */
class HotZone implements Fault {
  readonly name = 'hot';
  readonly title = 'all calls from one zone';

  begin(experiment: Experiment): void {
    [experiment.hotZone] = ZONES;
  }

  end(experiment: Experiment): void {
    experiment.hotZone = undefined;
  }
}

export const FAULTS: readonly Fault[] = [
  new SlowTarget(),
  new MisleadingHealth(),
  new HalfCold(),
  new Overload(),
  new ZoneCut(),
  new HotZone(),
];

/**
 * Runs one experiment from rest through the fault and back.
 * @param experiment - A new experiment.
 * @param fault - The fault.
 * @param durations - Its parts.
 * @returns The figures.
 */
export function runFault(
  experiment: Experiment,
  fault: Fault,
  durations: Durations,
): Measures {
  experiment.run(START_MS);
  experiment.demand = NORMAL_DEMAND;
  experiment.run(durations.before);
  const faultAt = experiment.clock.now;
  fault.begin(experiment);
  experiment.run(durations.fault);
  const normalAt = experiment.clock.now;
  fault.end(experiment);
  experiment.run(durations.after);
  const endAt = experiment.clock.now;
  experiment.demand = 0;
  experiment.run(durations.before);
  const phases: Phases = {faultAt, normalAt, endAt};
  return measure(experiment.records, phases);
}
