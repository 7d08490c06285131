import {readFileSync} from 'node:fs';
import * as z from 'zod';
import {REFUSALS} from '../../src/core/refusals.js';
import {
  RouteSchema,
  ServiceSchema,
  UpstreamSchema,
} from '../../src/model/config.js';
import {SettingsSchema} from '../../src/model/settings.js';
import {ProxyMetrics} from '../../src/proxy/metrics.js';
import {expect} from '../support/chai_setup.js';

interface JsonSchema {
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly default?: unknown;
}

/** Lists the path and default of each leaf, one for each expected row. */
function listLeafSettings(schema: JsonSchema, prefix = ''): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, member]) => {
    const path = `${prefix}${name}`;
    if (member.properties !== undefined) {
      return listLeafSettings(member, `${path}.`);
    }
    const isRequired = schema.required?.includes(name) ?? false;
    return [`${path} = ${renderDefault(member.default, isRequired)}`];
  });
}

function renderDefault(value: unknown, isRequired: boolean): string {
  if (value === undefined) {
    return isRequired ? 'required' : 'none';
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function listExpectedSettings(schema: z.ZodType): string[] {
  const opts = {io: 'input'} as const;
  return listLeafSettings(z.toJSONSchema(schema, opts) as JsonSchema).sort();
}

/** Reads the table cells below a heading, without backticks. */
function readRows(heading: string): string[][] {
  const page = readFileSync('docs/operators.md', 'utf8');
  const [, section = ''] = page.split(`\n## ${heading}\n`);
  return section
    .split('\n## ')[0]
    .split('\n')
    .filter(line => line.startsWith('| `'))
    .map(line => line.replaceAll('`', '').split('|').slice(1, -1))
    .map(cells => cells.map(cell => cell.trim()));
}

/** Reads path and default from rows of path, unit, default and meaning. */
function readSettings(heading: string): string[] {
  return readRows(heading)
    .map(([path, , value]) => `${path} = ${value}`)
    .sort();
}

describe('docs/operators.md', () => {
  it('lists every setting with its default', () => {
    const listed = readSettings('Settings of a proxy');
    expect(listed).to.deep.equal(listExpectedSettings(SettingsSchema));
  });

  it('gives every setting a unit and a meaning', () => {
    const incomplete = readRows('Settings of a proxy').filter(
      cells => cells.length !== 4 || cells.some(cell => cell === ''),
    );
    expect(incomplete).to.deep.equal([]);
  });

  for (const [heading, schema] of [
    ['A service', ServiceSchema],
    ['An upstream', UpstreamSchema],
    ['A route', RouteSchema],
  ] as const) {
    it(`lists every member of ${heading.toLowerCase()}`, () => {
      expect(readSettings(heading)).to.deep.equal(listExpectedSettings(schema));
    });
  }

  it('names every metric of a proxy', () => {
    const page = readFileSync('docs/operators.md', 'utf8');
    const {registry} = new ProxyMetrics(() => {
      throw new Error('This test does not read levels.');
    });
    const names = registry.getMetricsAsArray().map(({name}) => name);
    const missing = names.filter(
      name => name.startsWith('fireflysill_') && !page.includes(`\`${name}\``),
    );
    expect(missing).to.deep.equal([]);
    expect(names).to.include('fireflysill_call_refused_total');
  });

  it('lists every refusal with its status, outcome and remedy', () => {
    const listed = readRows('Refusals').map(
      ([reason, status, outcome, remedy]) => [
        reason,
        status,
        outcome,
        remedy === '' ? 'no remedy' : 'remedy',
      ],
    );
    const expected = Object.entries(REFUSALS).map(
      ([reason, {status, outcome}]) => [
        reason,
        String(status),
        outcome,
        'remedy',
      ],
    );
    expect(listed.sort()).to.deep.equal(expected.sort());
  });
});
