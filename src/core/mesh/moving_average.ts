/** Exponentially weighted moving averages by name. */

/** Weight of a new sample. */
const NEW_SAMPLE_WEIGHT = 0.1;

/**
 * Updates the average of a name; the first sample is its first average.
 * @param averages - Averages by name, in the unit of the samples.
 * @param name - What the sample belongs to, such as a route.
 * @param sample - The new sample.
 */
export function updateAverage(
  averages: Map<string, number>,
  name: string,
  sample: number,
): void {
  const average = averages.get(name) ?? sample;
  averages.set(name, average + NEW_SAMPLE_WEIGHT * (sample - average));
}
