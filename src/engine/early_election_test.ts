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

const silentPeers = [
  { name: "has refused a connection before", refuses: true },
  { name: "may have run before", refuses: false },
];

// After all instances lost power, small ones take half a second from listening to
// their first message; meanwhile nobody led.
for (const { name, refuses } of silentPeers) {
  test(`an instance whose connected, silent peer ${name} ${refuses ? "leads" : "waits"}`, () => {
    const self = { ...testInstanceInfo("self"), cpuCores: 2 };
    const instance = createTestInstance({ peers: ["p"], self });
    if (refuses) {
      instance.after(0, { type: "peerDown", instanceId: "p", refused: true });
      instance.after(5, { type: "peerUp", instanceId: "p" });
    }
    instance.after(0, { type: "workersRead", workers: [testWorker("w1")] });
    instance.tick(100);
    expect(instance.state.scheduler !== null).toEqual(refuses);
  });
}
