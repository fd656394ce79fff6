import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { expect } from "earl";
import { readText } from "./http_body.ts";

const MAX_BYTES = 100;
const CHUNKED = "Transfer-Encoding: chunked";

/** Sends a POST, and returns what is read of its body, or the error. */
async function readBody(header: string, content: string, ends: boolean) {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const read = new Promise((resolve) => {
    server.once("request", (request) => {
      readText(request, MAX_BYTES)
        .then(resolve, () => resolve("incomplete"));
    });
  });
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.write(`POST / HTTP/1.1\r\nHost: h\r\n${header}\r\n\r\n`);
  // Arrives after the header, as long bodies do.
  setTimeout(() => {
    socket.write(content);
    if (ends) socket.end();
  }, 20);
  try {
    return await read;
  } finally {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  }
}

function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

const END = "0\r\n\r\n";

const cases: {
  name: string;
  header?: string;
  content: string;
  ends?: boolean;
  read: string | null;
}[] = [
  {
    name: "of a known length",
    header: "Content-Length: 5",
    content: "quote",
    read: "quote",
  },
  { name: "without bytes", content: END, read: "" },
  {
    name: "in chunks of one byte",
    content: chunk("q").repeat(MAX_BYTES) + END,
    read: "q".repeat(MAX_BYTES),
  },
  {
    name: "in chunks of several sizes",
    content: chunk("a") + chunk("b".repeat(60)) + chunk("\u00e9") + END,
    read: "a" + "b".repeat(60) + "\u00e9",
  },
  {
    name: "that is too long",
    content: chunk("q").repeat(MAX_BYTES + 1),
    read: null,
  },
  {
    name: "that is too long by its last chunk",
    content: chunk("q") + chunk("r".repeat(MAX_BYTES)),
    read: null,
  },
  {
    name: "whose connection ends early",
    content: chunk("q"),
    ends: true,
    read: "incomplete",
  },
];

for (
  const { name, header = CHUNKED, content, ends = false, read } of cases
) {
  test(`readText reads a body ${name}`, async () => {
    expect(await readBody(header, content, ends)).toEqual(read);
  });
}
