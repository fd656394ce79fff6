/**
 * Jobs of callers that are not trusted: what one job says is drawn at and beyond
 * each bound.
 */

import { jobBounds } from "../src/engine/job_bounds.ts";
import type { JobSpec, Step } from "../src/engine/schemas.ts";
import type { World } from "./engine_world.ts";
import { pick, pickInstance, repeat } from "./fault_tools.ts";

/** Upper bound on the interval between two of these jobs. */
const INTERVAL_MS = 200;
/** Largest power of two that is drawn as a number of tasks, beyond the bound. */
const MAX_TASKS_EXPONENT = 17;
/** Largest power of two that is drawn as a length, that of the longest body. */
const MAX_LENGTH_EXPONENT = 18;
const MAX_STEPS_EXPONENT = 11;

const cpuAmounts = [0, 5e-324, 0.1, 100, jobBounds.cpuMilli, 1e308];
const otherAmounts = [0, 0, 0, 0, 0, 0, 0, 1e308];
const declaredTimesMs = [0, 5e-324, 0.2, 20, 20_000, 86_400_000, 1e12, 1e308];
/** Characters of one and three bytes, and one that JSON writes in six. */
const characters = ["x", "\u3042", "\u0001"];

/** Draws a power of two, and sometimes the number next to it. */
function drawSize(world: World, maxExponent: number): number {
  const exponent = Math.floor((maxExponent + 1) * world.random());
  return Math.max(1, 2 ** exponent + pick(world, [-1, 0, 0, 1]));
}

function drawStep(world: World, index: number): Step {
  const isWide = index === 0 && world.random() < 0.5;
  const afterCount = Math.min(index, drawSize(world, 4));
  return {
    count: isWide ? drawSize(world, MAX_TASKS_EXPONENT) : 1,
    cpuMilli: pick(world, cpuAmounts),
    memoryMb: pick(world, otherAmounts),
    accelerators: pick(world, otherAmounts),
    estimatedMs: pick(world, declaredTimesMs),
    after: index === 0 ? [] : Array<number>(afterCount).fill(index - 1),
  };
}

/** Draws a job; most of the drawn jobs exceed a bound or two. */
export function drawUntrustedJob(world: World): JobSpec {
  const isLong = world.random() < 0.2;
  const stepCount = isLong ? drawSize(world, MAX_STEPS_EXPONENT) : 1;
  const length = world.random() < 0.3
    ? drawSize(world, MAX_LENGTH_EXPONENT)
    : 1;
  const step = drawStep(world, 0);
  return {
    spec: pick(world, characters).repeat(length),
    steps: Array.from(
      { length: stepCount },
      (_, index) =>
        index === 0 ? step : { ...drawStep(world, index), count: 1 },
    ),
    ...(world.random() < 0.7 ? { isRecorded: true } : {}),
  };
}

/** Submits such jobs to leaders and to others for the given time. */
export function submitUntrustedJobs(world: World, forMs: number): void {
  repeat(world, { forMs, intervalMs: INTERVAL_MS }, () => {
    const queue = pick(world, world.queueRules);
    const job = drawUntrustedJob(world);
    world.submitUntrusted(pickInstance(world), { queue, job });
  });
}
