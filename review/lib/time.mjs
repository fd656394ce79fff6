/** Waits on the real clock. */

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}

/** Waits until a condition holds; returns whether it did within the limit. */
export async function waitFor(condition, { limitMs, everyMs = 5 }) {
  const untilMs = performance.now() + limitMs;
  while (performance.now() < untilMs) {
    if (await condition()) return true;
    await sleep(everyMs);
  }
  return false;
}
