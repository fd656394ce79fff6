import { test } from "node:test";
import { expect } from "earl";
import {
  testConfiguration,
  testHeartbeat,
  testQueue,
} from "../engine/testing.ts";
import type { PeerMessage } from "../engine/schemas.ts";
import {
  PackedMessageError,
  packMessage,
  unpackMessage,
} from "./message_packing.ts";

const queues = Array.from({ length: 1_400 }, (_, index) => ({
  ...testQueue,
  name: `queue ${index}, «ç»`,
}));
const large: PeerMessage = {
  type: "configuration",
  configuration: { ...testConfiguration, queues },
};

const cases: { name: string; message: PeerMessage; maxLength: number }[] = [
  { name: "a large configuration", message: large, maxLength: 40_000 },
  {
    name: "a small configuration",
    message: { type: "configuration", configuration: testConfiguration },
    maxLength: 1_000,
  },
  { name: "a heartbeat", message: testHeartbeat(), maxLength: 1_000 },
];

for (const { name, message, maxLength } of cases) {
  test(`${name} arrives as it was sent`, () => {
    const text = JSON.stringify(packMessage(message));
    expect(text.length <= maxLength).toEqual(true);
    expect(unpackMessage(JSON.parse(text))).toEqual(message);
  });
}

test("a message to many peers is compressed once", () => {
  expect(packMessage(large) === packMessage(large)).toEqual(true);
});

for (const packed of ["", "AAAA", "not base64"]) {
  test(`an unreadable compressed message is an error: "${packed}"`, () => {
    expect(() => unpackMessage({ packed })).toThrow(PackedMessageError);
  });
}
