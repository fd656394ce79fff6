import { test } from "node:test";
import { expect } from "earl";
import {
  drawCellsRun,
  drawRecordedRun,
  drawStepsRun,
  drawTakeoverRun,
  type EngineRun,
  simulateRun,
} from "./engine_runs.ts";

/**
 * Runs with records, or with a leader in each zone, that violated a guarantee
 * in the past, with the failure.
 */
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
    failure: "a leader continued its jobs after the cells had changed",
    draw: drawCellsRun,
    seeds: [5, 13, 14, 642],
  },
  {
    failure: "a job was resubmitted from another cell where its runs continued",
    draw: drawCellsRun,
    seeds: [22, 25],
  },
  {
    failure:
      "records were taken over from a zone that was alive but partitioned",
    draw: drawCellsRun,
    seeds: [10, 70, 92],
  },
  {
    failure:
      "workers of another cell retained completions after the cells had changed",
    draw: drawCellsRun,
    seeds: [648],
  },
  {
    failure: "two leaders of one zone owned the records one after the other",
    draw: drawCellsRun,
    seeds: [734, 770],
  },
  {
    failure: "tasks started again after their completions were acknowledged",
    draw: drawCellsRun,
    seeds: [26],
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
