/** Calls to stand-ins and to the administration listeners of instances. */

/** Sends JSON to a loopback port and returns the JSON response. */
export async function callControl<T>(
  port: number,
  path: string,
  { method = "POST", body, key }: {
    method?: string;
    body?: unknown;
    key?: string;
  } = {},
): Promise<T> {
  const response = await fetch(`http://127.0.0.1:${port}${path}`, {
    method,
    headers: {
      "content-type": "application/json",
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
    },
    ...(method === "GET" ? {} : { body: JSON.stringify(body ?? {}) }),
    signal: AbortSignal.timeout(5_000),
  });
  return await response.json() as T;
}

/**
 * Waits until a condition holds. A condition that throws counts as not met: the
 * process that it queries may not be listening yet.
 */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean> | boolean,
  { timeoutMs = 15_000 }: { timeoutMs?: number } = {},
): Promise<void> {
  const endMs = Date.now() + timeoutMs;
  while (Date.now() < endMs) {
    try {
      if (await condition()) return;
    } catch {
      // Treated as not met; checked again after the delay.
    }
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error(`timed out waiting for ${description}`);
}
