import {SettingsSchema} from '../src/model/settings.js';
import {expect} from './support/chai_setup.js';

describe('settings', () => {
  it('fills in defaults', () => {
    const settings = SettingsSchema.parse({
      upstreamId: 'desk-1',
      region: 'centre',
      zone: 'zilina-a',
      listen: {
        callers: '127.0.0.1:8001',
        peers: '127.0.0.1:8002',
        operators: '127.0.0.1:8003',
      },
      upstream: {address: '127.0.0.1:9001'},
      source: '127.0.0.1:7000',
    });
    expect(settings).toMatchSnapshot();
  });
});
