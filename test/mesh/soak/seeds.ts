/**
 * Lists the seeds that a text names.
 * @param ranges - Numbers and ranges, such as `1-6,35`.
 */
export function getSeeds(ranges: string): number[] {
  return ranges.split(',').flatMap(range => {
    const [first, last = first] = range.split('-').map(Number);
    return Array.from({length: last - first + 1}, (_, n) => first + n);
  });
}
