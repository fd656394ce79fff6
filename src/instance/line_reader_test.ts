import { test } from "node:test";
import { expect } from "earl";
import { createLineReaders } from "./line_reader.ts";

test("lines are complete however they are split into chunks", () => {
  const text = "one\n\nthree and more\nfour";
  for (let size = 1; size <= text.length; size += 1) {
    const lines: string[] = [];
    const reader = createLineReaders({ maxLength: 100 })
      .create((line) => lines.push(line));
    for (let at = 0; at < text.length; at += size) {
      reader.add(text.slice(at, at + size));
    }
    expect(lines).toEqual(["one", "", "three and more"]);
    expect(reader.incompleteLength()).toEqual(4);
  }
});

// A line without end, sent to the listener for peers, took all memory.
test("incomplete lines of all connections are bounded together", () => {
  const readers = createLineReaders({ maxLength: 10 });
  const [first, second] = [readers.create(() => {}), readers.create(() => {})];
  expect(first.add("123456")).toEqual(true);
  expect(second.add("12345")).toEqual(false);
  first.close();
  expect(second.add("12345")).toEqual(true);
});
