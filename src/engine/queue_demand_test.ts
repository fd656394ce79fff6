import { test } from "node:test";
import { expect } from "earl";
import { createTestLeader, SAME_LIST, testJob, testQueue } from "./testing.ts";

/** Arrivals per 100 ms after the usual 2, and whether the last is surplus. */
const cases = [
  { name: "its usual rate", arrivals: 2, surplus: false },
  { name: "twice its usual rate", arrivals: 4, surplus: false },
  { name: "ten times its usual rate", arrivals: 20, surplus: true },
];

for (const { name, arrivals, surplus } of cases) {
  test(`a queue at ${name} ${surplus ? "floods" : "does not flood"}`, () => {
    const leader = createTestLeader();
    const { scheduler } = leader.state;
    if (scheduler === null) throw new Error("the instance is not the leader");
    let next = 0;
    const submit = (count: number): string => {
      for (let job = 0; job < count; job += 1) {
        next += 1;
        leader.receive("p", {
          type: "submit",
          jobId: `j${next}`,
          submissionId: `p.${next}.1`,
          queue: { ...testQueue, objectiveMs: 1e6 },
          configurationVersion: -1,
          job: testJob(1),
          availabilityZone: "poa",
          ageMs: 0,
          timeLeftMs: 1e6,
          resubmitted: false,
          leftCell: false,
          previousList: SAME_LIST,
          answerAt: "ended",
          doneTasks: [],
        });
      }
      leader.tick(100);
      return `j${next}`;
    };
    for (let usual = 0; usual < 60; usual += 1) submit(2);
    let last = "";
    for (let later = 0; later < 10; later += 1) last = submit(arrivals);
    expect(scheduler.jobs.get(last)?.isSurplus).toEqual(surplus);
  });
}
