/** Bundles the daemon for the platform into one file that loads little. */
import {resolve} from 'node:path';
import {Plugin, build} from 'esbuild';

/** Replaces the index of undici, but not what its replacement loads of it. */
const REDUCED_UNDICI: Plugin = {
  name: 'slim-undici',
  setup: ({onResolve}) => {
    onResolve({filter: /^undici$/}, () => ({
      path: resolve('tools/undici_client.cjs'),
    }));
  },
};

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/fireflysill_platform.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Names stay as they are, so that stacks in logs can be read.
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
  plugins: [REDUCED_UNDICI],
});
