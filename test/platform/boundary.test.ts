/** The platform's names stay in its adapter, and the adapter stays small. */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {HEADER_NAMES} from '../../platform/header_names.js';
import {expect} from '../support/chai_setup.js';

/** Lines of code that translating may take. */
const MAX_ADAPTER_LINES = 600;

/** Names that only the platform uses. */
const PLATFORM_NAMES = [
  ...Object.values(HEADER_NAMES),
  'x-response-signature',
  'kv-key',
  'kv-range',
  'kv-watch',
  'store-revision',
  'has-more',
  'cold-left',
  'max-conns',
  'health-path',
  'op/config',
  'servers/',
  'app-addr',
  'retry-budget',
  'FIREFLYSILL_SETTINGS',
];

function readSources(dir: string): Map<string, string> {
  const files = readdirSync(dir, {recursive: true, encoding: 'utf8'})
    .filter(file => file.endsWith('.ts'))
    .map(file => join(dir, file));
  return new Map(files.map(file => [file, readFileSync(file, 'utf8')]));
}

describe('boundary of the platform', () => {
  it('keeps its names inside the adapter', () => {
    const found: string[] = [];
    for (const [file, text] of readSources('src')) {
      for (const name of PLATFORM_NAMES) {
        if (text.toLowerCase().includes(name.toLowerCase())) {
          found.push(`${file}: ${name}`);
        }
      }
    }
    expect(found).to.deep.equal([]);
  });

  it('keeps the adapter small', () => {
    const lines = [...readSources('platform').values()].map(
      text => text.split('\n').length,
    );
    const total = lines.reduce((sum, count) => sum + count, 0);
    expect(total).to.be.below(MAX_ADAPTER_LINES);
  });
});
