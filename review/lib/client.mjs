/** A stand-in for the clients: one request on a connection of its own. */

import { request } from "node:http";

const TIMEOUT_MS = 4_000;

/** Sends one request; the status is 0 if there was no complete answer. */
export function send(
  { host, port, method, path, hostHeader, body, timeoutMs = TIMEOUT_MS },
) {
  return new Promise((resolve) => {
    const text = body === undefined ? "" : JSON.stringify(body);
    const call = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        host: hostHeader,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        "timeout-ms": timeoutMs,
      },
    });
    const timer = setTimeout(
      () => call.destroy(new Error("timeout")),
      timeoutMs,
    );
    const finish = (status, content) => {
      clearTimeout(timer);
      resolve({ status, content });
    };
    call.on("error", (error) => finish(0, error.code ?? error.message));
    call.on("response", (response) => {
      let answer = "";
      response.setEncoding("utf8");
      response.on("data", (chunk) => answer += chunk);
      response.on("end", () => finish(response.statusCode, answer));
      response.on("error", (error) => finish(0, error.message));
    });
    call.end(text);
  });
}
