/**
 * Checks every specification in spec/ by an exhaustive search with spin. Mutants
 * of the specification must violate their property. Prints one line for each
 * search, and the counts in the last line.
 */
import {execFile} from 'node:child_process';
import {copyFileSync, mkdirSync, readFileSync, rmSync} from 'node:fs';
import {join} from 'node:path';
import {promisify} from 'node:util';
import {MODEL_CHECKS, ModelCheck} from './model_checks.js';

const SPEC_DIR = 'spec';
const BUILD_DIR = join(SPEC_DIR, 'build');
const PARALLEL_SEARCHES = 4;
/** A search that exceeds this or the depth counts as unfinished. */
const MEMORY_LIMIT_MB = 900;
const MAX_DEPTH = 2_000_000;
const MAX_OUTPUT_BYTES = 16 * 1024 * 1024;

const execFileAsync = promisify(execFile);

type Verdict = 'holds' | 'violated' | 'unfinished';

interface SearchResult {
  readonly check: ModelCheck;
  readonly verdict: Verdict;
  /** Number of states that the search stored. */
  readonly states: number;
  /** The violation that was found, or why the search could not run. */
  readonly detail: string;
}

/** A property holds only if the search was complete and found no error. */
function parseVerdict(output: string): Verdict {
  if (/^pan:1: assertion violated/m.test(output)) {
    return 'violated';
  }
  const complete =
    /errors: 0$/m.test(output) &&
    !/Search not completed|max search depth too small|out of memory|truncated|aborting/i.test(
      output,
    );
  return complete ? 'holds' : 'unfinished';
}

/** Generates, compiles and runs the verifier of one check. */
async function runSearch(
  check: ModelCheck,
  index: number,
): Promise<SearchResult> {
  const dir = join(BUILD_DIR, String(index));
  mkdirSync(dir, {recursive: true});
  const file = `${check.spec}.pml`;
  copyFileSync(join(SPEC_DIR, file), join(dir, file));
  const options = {cwd: dir, maxBuffer: MAX_OUTPUT_BYTES};
  const macros = check.macros.map(macro => `-D${macro}`);
  await execFileAsync('spin', ['-a', ...macros, file], options);
  const optimization = check.expected === 'holds' ? '-O2' : '-O1';
  const flags = [optimization, '-w', '-DSAFETY', `-DMEMLIM=${MEMORY_LIMIT_MB}`];
  await execFileAsync('gcc', [...flags, '-o', 'pan', 'pan.c'], options);
  // Without -E, spin would report a state without successors as an error.
  const args = ['-E', `-m${MAX_DEPTH}`];
  const {stdout, stderr} = await execFileAsync('./pan', args, options);
  const output = stdout + stderr;
  const violation = /^pan:1: .*$/m.exec(output)?.[0];
  return {
    check,
    verdict: parseVerdict(output),
    states: Number(/(\S+) states, stored/.exec(output)?.[1] ?? 0),
    detail: violation ?? '',
  };
}

/** A search that cannot be compiled or run counts as unfinished. */
async function tryRunSearch(
  check: ModelCheck,
  index: number,
): Promise<SearchResult> {
  try {
    return await runSearch(check, index);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return {check, verdict: 'unfinished', states: 0, detail};
  }
}

async function runAllSearches(): Promise<SearchResult[]> {
  const results: SearchResult[] = [];
  let next = 0;
  const runNextSearches = async () => {
    while (next < MODEL_CHECKS.length) {
      const index = next++;
      const result = await tryRunSearch(MODEL_CHECKS[index], index);
      results.push(result);
      console.log(formatResult(result));
    }
  };
  await Promise.all(Array.from({length: PARALLEL_SEARCHES}, runNextSearches));
  return results;
}

function formatResult({check, verdict, states, detail}: SearchResult): string {
  const passed = verdict === check.expected ? 'ok  ' : 'FAIL';
  const macros =
    check.macros.length === 0 ? '' : ` [${check.macros.join(' ')}]`;
  const found = verdict === check.expected ? '' : ` ${detail}`;
  return `${passed} ${check.spec}${macros}: ${verdict}, ${states} states; ${check.properties.join('; ')}${found}`;
}

/**
 * Prints the paragraph `Bounds:` of the first comment of each specification.
 */
function printBounds(): void {
  for (const spec of new Set(MODEL_CHECKS.map(check => check.spec))) {
    const text = readFileSync(join(SPEC_DIR, `${spec}.pml`), 'utf8');
    const comment = text.slice(0, text.indexOf('*/'));
    const bounds = /Bounds:[^]*?(?=\n \*\n|\s*$)/.exec(comment)?.[0] ?? '';
    console.log(`${spec}. ${bounds.replace(/\s*\n \* ?/g, ' ')}`);
  }
}

/** Counts mutants; one that violates several properties counts once. */
function countMutants(searches: readonly SearchResult[]): number {
  const names = searches.map(({check}) => {
    const macros = check.macros.filter(macro => !macro.startsWith('ONLY='));
    return [check.spec, ...macros].join(' ');
  });
  return new Set(names).size;
}

async function main(): Promise<void> {
  rmSync(BUILD_DIR, {recursive: true, force: true});
  printBounds();
  const results = await runAllSearches();
  const expectedResults = results.filter(s => s.check.expected === s.verdict);
  const proved = expectedResults.filter(s => s.check.expected === 'holds');
  const caught = expectedResults.filter(s => s.check.expected === 'violated');
  const properties = proved.flatMap(s => s.check.properties);
  const violatedProperties = new Set(caught.flatMap(s => s.check.properties));
  const propertiesWithoutMutant = properties.filter(
    p => !violatedProperties.has(p),
  );
  for (const property of propertiesWithoutMutant) {
    console.log(
      `FAIL no mutant violates this property, add one to tools/model_checks.ts: ${property}`,
    );
  }
  console.log(
    `model: ${properties.length} properties hold, ${countMutants(caught)} mutants caught`,
  );
  const failed =
    results.length - expectedResults.length + propertiesWithoutMutant.length;
  process.exit(failed === 0 ? 0 : 1);
}

void main();
