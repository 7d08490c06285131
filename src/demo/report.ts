/** Prints the steps of the demo and stops it at the first broken expectation. */

/** An expectation that did not hold, with what was seen. */
export class BrokenExpectation extends Error {}

export class DemoReport {
  /** @param write - Takes one line. */
  constructor(private readonly write: (line: string) => void) {}

  /** @param title - Title of the step that follows. */
  step(title: string): void {
    this.write(`\n== ${title}`);
  }

  /** @param text - Something seen. */
  say(text: string): void {
    this.write(`   ${text}`);
  }

  /**
   * Prints an expectation that holds, or stops the demo.
   * @param expectation - What should be so.
   * @param holds - Whether it is.
   * @param seen - What was seen, printed where it is not so.
   */
  expect(expectation: string, holds: boolean, seen: unknown): void {
    if (!holds) {
      throw new BrokenExpectation(
        `expected: ${expectation}; seen: ${JSON.stringify(seen)}`,
      );
    }
    this.write(`   ok: ${expectation}`);
  }
}
