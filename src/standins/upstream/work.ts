/** Runs one request's work, which a deadline or the client may stop. */

export type WorkEnd = 'finished' | 'client' | 'deadline';

/**
 * Waits until work is done or stopped.
 * @param workMs - How long the work takes.
 * @param deadlineMs - Time left to the caller; undefined is unlimited.
 * @param signal - Aborted when the client goes away.
 * @returns How the work ended.
 */
export async function runWork(
  workMs: number,
  deadlineMs: number | undefined,
  signal: AbortSignal,
): Promise<WorkEnd> {
  if (signal.aborted) {
    return 'client';
  }
  const finishesInTime = deadlineMs === undefined || workMs <= deadlineMs;
  if (workMs === 0) {
    return 'finished';
  }
  return new Promise(resolve => {
    const finish = (end: WorkEnd) => {
      clearTimeout(timer);
      signal.removeEventListener('abort', abort);
      resolve(end);
    };
    const abort = () => finish('client');
    const timer = finishesInTime
      ? setTimeout(() => finish('finished'), workMs)
      : setTimeout(() => finish('deadline'), deadlineMs);
    signal.addEventListener('abort', abort);
  });
}
