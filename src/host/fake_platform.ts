/** A platform in memory, for tests: it can be down and lose answers. */

import type { Json } from "../core/schemas.ts";
import type { PlatformHost, TableRow } from "./hosts.ts";

/** A platform whose failures a test sets. */
export interface FakePlatform extends PlatformHost {
  /** So many writes take effect, and their answers are lost. */
  loseAnswers: number;
  /** Every call fails. */
  down: boolean;
}

/** Creates an empty table. */
export function createFakePlatform(): FakePlatform {
  const table = new Map<string, TableRow>();
  const read = (key: string) => table.get(key) ?? { value: null, version: 0 };

  function fail(message: string): Promise<never> {
    return Promise.reject(new Error(message));
  }

  const platform: FakePlatform = {
    loseAnswers: 0,
    down: false,
    readRow: (key) => platform.down ? fail("down") : Promise.resolve(read(key)),
    writeRow(key, row: { value: Json; expectedVersion: number }) {
      if (platform.down) return fail("down");
      const current = read(key);
      if (current.version !== row.expectedVersion) {
        return Promise.resolve({ kind: "conflict", row: current });
      }
      const version = current.version + 1;
      table.set(key, { value: row.value, version });
      if (platform.loseAnswers > 0) {
        platform.loseAnswers -= 1;
        return fail("the answer was lost");
      }
      return Promise.resolve({ kind: "written", version });
    },
    readMembership: () => Promise.resolve({ version: 1, upstreams: [] }),
    close: () => Promise.resolve(),
  };
  return platform;
}
