/** Simulates the work of a request, which its deadline or client may stop. */

export type WorkEnd = 'finished' | 'client' | 'deadline';

/**
 * Waits until the work is finished or stopped.
 * @param workMs - Duration of the work.
 * @param deadlineMs - Time until the deadline; undefined means no deadline.
 * @param signal - Aborted when the client disconnects.
 * @returns `finished`, or what stopped the work.
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
