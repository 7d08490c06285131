/** Prints the steps of the demo and stops it at the first failed check. */

/** A failed check, with the observed value. */
export class ExpectationError extends Error {}

/** Writes the report of the demo line by line. */
export class DemoReport {
  /** @param write - Called with each line. */
  constructor(private readonly write: (line: string) => void) {}

  /**
   * Prints the title of the next step.
   * @param title - The title.
   */
  startStep(title: string): void {
    this.write(`\n== ${title}`);
  }

  /**
   * Prints an observation.
   * @param text - The observation.
   */
  print(text: string): void {
    this.write(`   ${text}`);
  }

  /**
   * Prints a check that passed. Throws an `ExpectationError` if it failed.
   * @param expectation - What is expected.
   * @param holds - True if the expectation is met.
   * @param seen - The observed value, part of the error.
   */
  assert(expectation: string, holds: boolean, seen: unknown): void {
    if (!holds) {
      throw new ExpectationError(
        `expected: ${expectation}; seen: ${JSON.stringify(seen)}`,
      );
    }
    this.write(`   ok: ${expectation}`);
  }
}
