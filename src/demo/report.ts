/** Prints the steps of the demo and stops it at the first broken expectation. */

/** An expectation that did not hold, with what was seen. */
export class ExpectationError extends Error {}

export class DemoReport {
  /** @param write - Takes one line. */
  constructor(private readonly write: (line: string) => void) {}

  /** @param title - Title of the step that follows. */
  startStep(title: string): void {
    this.write(`\n== ${title}`);
  }

  /** @param text - Something seen. */
  print(text: string): void {
    this.write(`   ${text}`);
  }

  /**
   * Prints an expectation that holds, or stops the demo.
   * @param expectation - What should be so.
   * @param holds - Whether it is.
   * @param seen - What was seen, printed where it is not so.
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
