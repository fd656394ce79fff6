/** Conditions left out one at a time; randomised runs have to notice each. */

import type { Guards } from "../src/engine/types.ts";
import { drawRecordedRun, type EngineRun, playRun } from "./engine_runs.ts";

const always = (): boolean => true;
const never = (): boolean => false;

/** Each condition that promises rest on, replaced by its absence. */
export const engineMutants: Record<string, Partial<Guards>> = {
  beginUnrecorded: { mayStartJob: always },
  forgetEnds: { mustRetainCompletion: never },
  startAgain: { mayRunAgain: always },
  overcommit: { hasRoom: always },
  serveLeaving: { mayServe: always },
  lapseEarly: { hasExpired: always },
  startElsewhere: { mayRunElsewhere: never },
  refuseBegun: { mayRefuse: always },
  revertConfiguration: { isNewer: always },
};

/** Faults that bring each condition into play, beside those drawn. */
function provoke(run: EngineRun): EngineRun {
  return {
    ...run,
    faults: [
      ...run.faults,
      { atMs: 6_000, name: "kill", forMs: 0 },
      { atMs: 8_000, name: "workerLeaves", forMs: 6_000 },
      { atMs: 9_000, name: "workerCut", forMs: 1_500 },
      { atMs: 12_000, name: "zoneCut", forMs: 2_500 },
    ],
  };
}

/** The first seed whose run notices a mutant, or null. */
export async function findCatch(
  name: string,
  { seeds }: { seeds: number },
): Promise<{ seed: number; seen: string } | null> {
  const guards = engineMutants[name] ?? {};
  for (let seed = 1; seed <= seeds; seed += 1) {
    const { broken } = await playRun(provoke(drawRecordedRun(seed)), {
      guards,
    });
    if (broken[0] !== undefined) return { seed, seen: broken[0] };
  }
  return null;
}
