/** Limits the platform's names to the adapter, and the adapter's size. */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {HEADER_NAMES} from '../../platform/header_names.js';
import {expect} from '../support/chai_setup.js';

/** Limit on lines, so that the adapter only translates. */
const MAX_ADAPTER_LINES = 600;

/** Names that only the platform defines. */
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

describe('platform adapter boundary', () => {
  it('keeps platform names out of src', () => {
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

  it('keeps the adapter below its line limit', () => {
    const lines = [...readSources('platform').values()].map(
      text => text.split('\n').length,
    );
    const total = lines.reduce((sum, count) => sum + count, 0);
    expect(total).to.be.below(MAX_ADAPTER_LINES);
  });
});
