/**
 * The network between the instances: one proxy for each ordered pair, so that a
 * single machine can be cut off from the others. An instance sees each peer at
 * the address of the proxy between the two; addresses inside messages and in
 * the rows of the table `instances` are translated accordingly.
 */

import { connect, createServer } from "node:net";

/** Number of the first machine in the last part of its address. */
export const FIRST_MACHINE = 10;

export function createNetwork({ prefix, peerPort, count, record }) {
  /** Listening proxies by viewer and target. */
  const proxies = new Map();
  /** Machines whose messages are lost, in both directions. */
  const silent = new Set();
  /** Connections that carry nothing any more. */
  const stalled = new Set();
  const machines = Array.from({ length: count }, (_, index) => index);

  const realHost = (target) => `${prefix}.0.${FIRST_MACHINE + target}`;
  const viewedHost = (viewer, target) =>
    `${prefix}.${FIRST_MACHINE + viewer}.${FIRST_MACHINE + target}`;
  const pattern = new RegExp(
    `${prefix.replace(".", "\\.")}\\.\\d+\\.(\\d+):${peerPort}`,
    "g",
  );

  function translateFor(viewer, text) {
    return text.replace(
      pattern,
      (_, last) => `${prefix}.${FIRST_MACHINE + viewer}.${last}:${peerPort}`,
    );
  }

  function translateToReal(text) {
    return text.replace(
      pattern,
      (_, last) => `${prefix}.0.${last}:${peerPort}`,
    );
  }

  function openProxy(viewer, target) {
    const sockets = new Set();
    const server = createServer((incoming) => {
      const outgoing = connect({ host: realHost(target), port: peerPort });
      for (const socket of [incoming, outgoing]) {
        socket.setNoDelay(true);
        sockets.add(socket);
        socket.on("error", () => {});
      }
      const close = () => {
        for (const socket of [incoming, outgoing]) {
          sockets.delete(socket);
          socket.destroy();
        }
      };
      incoming.on("close", close);
      outgoing.on("close", close);
      let rest = "";
      incoming.setEncoding("utf8");
      incoming.on("data", (chunk) => {
        if (stalled.has(incoming)) return;
        const lines = (rest + chunk).split("\n");
        rest = lines.pop();
        if (silent.has(viewer) || silent.has(target)) return;
        for (const line of lines) {
          outgoing.write(`${translateFor(target, line)}\n`);
        }
      });
      outgoing.pipe(incoming);
    });
    proxies.set(`${viewer}-${target}`, { server, sockets });
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(peerPort, viewedHost(viewer, target), resolve);
    });
  }

  function closeProxy(viewer, target) {
    const { server, sockets } = proxies.get(`${viewer}-${target}`);
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
  }

  function pairsOf(machine) {
    return machines.filter((other) => other !== machine).flatMap((other) => [
      [machine, other],
      [other, machine],
    ]);
  }

  return {
    async open() {
      for (const viewer of machines) {
        for (const target of machines) {
          if (viewer !== target) await openProxy(viewer, target);
        }
      }
    },
    /** Cuts one machine off from the others; connections are refused. */
    cut(machine) {
      for (const [viewer, target] of pairsOf(machine)) {
        closeProxy(viewer, target);
      }
      record(`network: machine ${machine} is cut off from the other machines`);
    },
    async heal(machine) {
      for (const [viewer, target] of pairsOf(machine)) {
        await openProxy(viewer, target);
      }
      record(`network: machine ${machine} reaches the other machines again`);
    },
    /** The open connections from one machine to another go silent for good. */
    stall(viewer, target) {
      const { sockets } = proxies.get(`${viewer}-${target}`);
      for (const socket of sockets) stalled.add(socket);
      record(
        `network: open connections from machine ${viewer} to ${target} are silent`,
      );
    },
    setSilent(machine, isSilent) {
      if (isSilent) silent.add(machine);
      else silent.delete(machine);
      record(
        `network: messages of machine ${machine} are ${
          isSilent ? "lost" : "carried"
        }`,
      );
    },
    /** Translates addresses in the rows that register the instances. */
    translate: {
      toStore: (_instance, { table, value }) =>
        table === "instances" ? recode(value, translateToReal) : value,
      fromStore: (instance, { table, value }) =>
        table === "instances"
          ? recode(value, (text) => translateFor(instance, text))
          : value,
    },
    close() {
      for (const { server, sockets } of proxies.values()) {
        server.close();
        for (const socket of sockets) socket.destroy();
      }
    },
  };
}

function recode(value, change) {
  const text = Buffer.from(value, "base64").toString("utf8");
  return Buffer.from(change(text)).toString("base64");
}
