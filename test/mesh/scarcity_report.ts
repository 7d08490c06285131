/**
 * Prints the results of the scarcity replay by load pattern and kind, summed over
 * the seeds: `node --import tsx test/mesh/scarcity_report.ts`.
 */
import {CALLER_KINDS, PATTERNS} from './scarcity_patterns.js';
import {ScarcityReplay} from './scarcity_replay.js';
import {ReplayResult} from './scarcity_results.js';

const SEEDS = (process.argv[3] ?? '1,2,3').split(',').map(Number);

function formatShare(part: number, whole: number): string {
  return ((100 * part) / Math.max(1, whole)).toFixed(1);
}

function printKind(results: readonly ReplayResult[], name: string): void {
  const sum = (read: (kind: Record<string, number>) => number) =>
    results.reduce((total, {kinds}) => total + read({...kinds.get(name)!}), 0);
  const callers = sum(kind => kind.callers);
  const shares = [
    'inTime',
    'late',
    'refusedOnArrival',
    'refusedAfterWait',
    'failed',
    'expired',
  ].map(field =>
    formatShare(
      sum(kind => kind[field]),
      callers,
    ),
  );
  const wasted = formatShare(
    sum(kind => kind.wastedRuns),
    sum(kind => kind.runs),
  );
  console.log(`| ${name} | ${callers} | ${shares.join(' | ')} | ${wasted} |`);
}

for (const pattern of PATTERNS) {
  const results = SEEDS.map(seed => new ScarcityReplay(pattern, seed).run());
  const utilities = results.map(({utility}) => utility.toFixed(3)).join(', ');
  const refused = results.map(result => result.refusedAttempts).join(', ');
  console.log(`${pattern.name}: utility ${utilities}; refusals ${refused}`);
  if (process.argv[2] !== 'short') {
    CALLER_KINDS.forEach(({name}) => printKind(results, name));
  }
}
