/** Where the built daemons are. */
import {existsSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/**
 * Finds a built daemon.
 * @param name - File name without extension.
 * @returns Its path. Throws where it has not been built.
 */
export function getDaemonPath(name: string): string {
  const path = join(findPackageRoot(), 'dist', 'src', 'bin', `${name}.js`);
  if (!existsSync(path)) {
    throw new Error(`${name} is not built; run \`npm run build\` first.`);
  }
  return path;
}

/** The folder of package.json; this module runs from src and from dist. */
function findPackageRoot(): string {
  let dir = dirname(fileURLToPath(import.meta.url));
  while (!existsSync(join(dir, 'package.json'))) {
    dir = dirname(dir);
  }
  return dir;
}
