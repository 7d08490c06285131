/** Metrics by route: calls, refused attempts, and attempts that wait. */
import {Counter, Gauge, Registry} from 'prom-client';
import {RouteCounter} from '../core/mesh/mesh_types.js';

/** Routes that get a label value of their own; the others share one. */
const MAX_ROUTES = 64;
const OTHER_ROUTES = '(other)';

const HELP: Readonly<Record<RouteCounter, string>> = {
  route_calls: 'Calls of this entry, by route and outcome.',
  route_refusals: 'Attempts that this owner refused, by route and reason.',
};

/** Counts by route; outcomes and reasons are fixed sets. */
export class RouteMetrics {
  /** Counts since the last scrape, by counter, route and outcome. */
  private readonly pending = new Map<
    RouteCounter,
    Map<string, Map<string, number>>
  >();
  private readonly labelled = new Set<string>();

  /**
   * @param registry - Where the metrics are registered.
   * @param getWaiting - Returns the routes of the waiting attempts.
   */
  constructor(registry: Registry, getWaiting: () => readonly string[]) {
    const registers = [registry];
    for (const [name, help] of Object.entries(HELP)) {
      const counts = new Map<string, Map<string, number>>();
      this.pending.set(name as RouteCounter, counts);
      const counter: Counter<'route' | 'outcome'> = new Counter({
        name: `fireflysill_${name}_total`,
        help,
        labelNames: ['route', 'outcome'] as const,
        registers,
        collect() {
          for (const [route, outcomes] of counts) {
            outcomes.forEach((count, outcome) =>
              counter.inc({route, outcome}, count),
            );
          }
          counts.clear();
        },
      });
    }
    const getLabel = (route: string) => this.getLabel(route);
    const gauge: Gauge<'route'> = new Gauge({
      name: 'fireflysill_route_waiting',
      help: 'Attempts that wait for a slot of the upstream, by route.',
      labelNames: ['route'] as const,
      registers,
      collect() {
        gauge.reset();
        getWaiting().forEach(route => gauge.inc({route: getLabel(route)}));
      },
    });
  }

  count(counter: RouteCounter, route: string, outcome: string): void {
    const counts = this.pending.get(counter)!;
    const label = this.getLabel(route);
    const outcomes = counts.get(label) ?? new Map<string, number>();
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    counts.set(label, outcomes);
  }

  private getLabel(route: string): string {
    if (!this.labelled.has(route) && this.labelled.size >= MAX_ROUTES) {
      return OTHER_ROUTES;
    }
    this.labelled.add(route);
    return route;
  }
}
