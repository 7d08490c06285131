/** Paths of the compiled daemons. */
import {existsSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/**
 * Gets the path of a compiled daemon.
 * @param name - File name without extension.
 * @returns The path. Throws if the file does not exist.
 */
export function getDaemonPath(name: string): string {
  const path = join(findPackageRoot(), 'dist', 'src', 'bin', `${name}.js`);
  if (!existsSync(path)) {
    throw new Error(`${name} is not built; run \`npm run build\` first.`);
  }
  return path;
}

/**
 * Finds the directory of package.json. The number of levels to it differs,
 * because this module runs from both src and dist.
 */
function findPackageRoot(): string {
  let dir = dirname(fileURLToPath(import.meta.url));
  while (!existsSync(join(dir, 'package.json'))) {
    dir = dirname(dir);
  }
  return dir;
}
