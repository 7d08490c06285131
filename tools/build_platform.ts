/**
 * Bundles the daemon for the platform into one file with few modules to load.
 */
import {resolve} from 'node:path';
import {Plugin, build} from 'esbuild';

/**
 * Replaces a module by a file of this folder. Deep imports are not affected, nor are
 * the imports of the replacement itself.
 */
function replaceModule(filter: RegExp, file: string): Plugin {
  const path = resolve('tools', file);
  return {
    name: `replace-${file}`,
    setup: ({onResolve}) => {
      onResolve({filter}, ({importer}) =>
        importer === path ? undefined : {path},
      );
    },
  };
}

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
  // Node.js quotes the whole source line of an uncaught error.
  lineLimit: 200,
  logLevel: 'warning',
  plugins: [
    replaceModule(/^undici$/, 'undici_client.cjs'),
    replaceModule(/^(node:)?assert(\/strict)?$/, 'assert.cjs'),
  ],
});
