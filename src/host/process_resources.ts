/** The resources of this process, from its settings and from its runtime. */

import { getHeapStatistics } from "node:v8";
import type { ProcessResources } from "./client_limits.ts";

/** Descriptors of the smallest machine, if the settings don't tell. */
const DEFAULT_MAX_FDS = 2_212;

/** Returns the resources that the client limits are derived from. */
export function readProcessResources(
  { maxFds, memoryMb }: {
    maxFds: number | null;
    memoryMb: number | null;
  },
): ProcessResources {
  return {
    maxFds: maxFds ?? DEFAULT_MAX_FDS,
    heapBytes: getHeapStatistics().heap_size_limit,
    memoryBytes: memoryMb === null ? Infinity : memoryMb * 1_048_576,
  };
}
