import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  testHeartbeat,
  testInstanceInfo,
  testWorker,
} from "./testing.ts";

const cases = [
  { name: "before it has read the list of instances", hasRead: false },
  { name: "whose listed peers have all answered", hasRead: true },
];

// The peers that connect first may have started at the same time; the leader may
// be one that has not connected yet.
for (const { name, hasRead } of cases) {
  test(`an instance that has just started, ${name}, ${hasRead ? "leads" : "does not lead"} at once`, () => {
    const self = { ...testInstanceInfo("self"), cpuCores: 2 };
    const instance = createTestInstance({ peers: ["p"], self });
    instance.state.hasReadInstances = hasRead;
    instance.receive("p", testHeartbeat());
    instance.after(0, { type: "workersRead", workers: [testWorker("w1")] });
    instance.tick(100);
    expect(instance.state.scheduler !== null).toEqual(hasRead);
  });
}
