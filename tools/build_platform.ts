/**
 * Bundles the daemon for the platform into one file with few modules to load.
 */
import {resolve} from 'node:path';
import {Plugin, build} from 'esbuild';

/**
 * Replaces the main module of undici by one that loads only the HTTP clients.
 * Deep imports, such as those of the replacement, are not affected.
 */
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
  // Identifiers are not minified, so that stack traces in logs stay readable.
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
  plugins: [REDUCED_UNDICI],
});
