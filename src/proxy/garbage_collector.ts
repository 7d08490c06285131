/** Runs the garbage collector on request. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

let collect: (() => void) | undefined;

/**
 * Collects all garbage before it returns. V8 delays this while the heap is small,
 * however many bytes its buffers hold outside of it.
 */
export function collectGarbage(): void {
  if (collect === undefined) {
    setFlagsFromString('--expose-gc');
    collect = runInNewContext('gc') as () => void;
  }
  collect();
}
