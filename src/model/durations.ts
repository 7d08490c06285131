/** Parses durations with a unit, such as `1500ms` or `2.5s`. */
import * as z from 'zod';

const DURATION_PATTERN = /^(\d+(?:\.\d+)?(?:[eE][+-]?\d+)?)(ms|s)$/;
const MS_PER_SECOND = 1_000;

/** Transforms a duration with a unit into milliseconds. */
export const DurationSchema = z.string().transform((text, ctx) => {
  const match = DURATION_PATTERN.exec(text);
  if (match === null) {
    ctx.addIssue({
      code: 'custom',
      message: 'write a number and its unit, such as 1500ms or 2.5s',
    });
    return z.NEVER;
  }
  const factor = match[2] === 's' ? MS_PER_SECOND : 1;
  return Number(match[1]) * factor;
});
