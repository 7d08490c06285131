/** Metrics that are kept until a scrape. */
import {GaugeValues, MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {expect} from '../support/chai_setup.js';

async function readValue(metrics: MeshMetrics, name: string): Promise<number> {
  const text = await metrics.registry.metrics();
  const [, value] = text.match(new RegExp(`^${name} (\\S+)$`, 'm')) ?? [];
  return Number(value);
}

describe('mesh metrics', () => {
  // Guards against observations that are lost or counted twice between scrapes.
  it('count each observation once over several scrapes', async () => {
    const metrics = new MeshMetrics(() => ({}) as GaugeValues);
    const name = 'fireflysill_run_seconds';
    metrics.observe('run_seconds', 0.3);
    metrics.observe('run_seconds', 0.1);
    expect(await readValue(metrics, `${name}_count`)).to.equal(2);
    for (let n = 0; n < 1_500; n += 1) {
      metrics.observe('run_seconds', 1);
    }
    expect(await readValue(metrics, `${name}_count`)).to.equal(1_502);
    expect(await readValue(metrics, `${name}_sum`)).to.be.closeTo(
      1_500.4,
      1e-6,
    );
    expect(await readValue(metrics, `${name}_count`)).to.equal(1_502);
  });
});
