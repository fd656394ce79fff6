import { test } from "node:test";
import { expect } from "earl";
import {
  drawRecordedRun,
  drawStepsRun,
  drawTakeoverRun,
  type EngineRun,
  simulateRun,
} from "./engine_runs.ts";

/** Runs with records that violated a guarantee in the past, with the failure. */
const drawnRegressions: {
  failure: string;
  draw: (seed: number) => EngineRun;
  seeds: number[];
}[] = [
  {
    failure: "a job was refused by one leader while another still had it",
    draw: drawRecordedRun,
    seeds: [26],
  },
  {
    failure:
      "jobs started before completions older than the records were processed",
    draw: drawRecordedRun,
    seeds: [68],
  },
  {
    failure: "completions of relinquished records did not reach the next owner",
    draw: drawRecordedRun,
    seeds: [617],
  },
  {
    failure: "the owner of the records took an instance that lost them for it",
    draw: drawTakeoverRun,
    seeds: [3013],
  },
  {
    failure: "a leader whose entries refused connections started their tasks",
    draw: drawTakeoverRun,
    seeds: [3101],
  },
  {
    failure:
      "a new owner of a worker renewed the lease of an end it didn't know",
    draw: drawTakeoverRun,
    seeds: [3153],
  },
  {
    failure: "a deposed leader took workers back and started tasks again",
    draw: drawStepsRun,
    seeds: [20_011, 20_143],
  },
];

for (const { failure, draw, seeds } of drawnRegressions) {
  for (const seed of seeds) {
    test(`${draw.name} ${seed}: ${failure}`, async () => {
      expect((await simulateRun(draw(seed))).violations).toEqual([]);
    });
  }
}
