/**
 * A link that a test can cut silently. While it is cut nothing passes; what was
 * sent on connections that were open before is delivered once it is whole again,
 * as TCP does. What is sent on a connection that was opened meanwhile is lost if
 * the sender gives the connection up first.
 */

import { connect, createServer } from "node:net";

export async function startLink(host, port, target) {
  const links = new Set();
  let isCut = false;

  const server = createServer({ allowHalfOpen: true }, (client) => {
    const [targetHost, targetPort] = target.split(":");
    const link = { client, upstream: null, isNew: isCut, isGone: false };
    links.add(link);
    const open = () => {
      if (link.upstream !== null || link.isGone) return;
      const upstream = connect({
        host: targetHost,
        port: Number(targetPort),
        allowHalfOpen: true,
        noDelay: true,
      });
      link.upstream = upstream;
      for (const [from, to] of [[client, upstream], [upstream, client]]) {
        from.on("data", (chunk) => to.writable && to.write(chunk));
        from.on("end", () => to.end());
        from.on("error", () => to.destroy());
        from.on("close", () => to.writable && to.end());
      }
      upstream.on("close", () => links.delete(link));
    };
    link.open = open;
    client.setNoDelay(true);
    client.on("error", () => {
      link.isGone = true;
    });
    if (isCut) client.pause();
    else open();
  });
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });

  return {
    cut() {
      isCut = true;
      for (const { client, upstream } of links) {
        client.pause();
        upstream?.pause();
      }
    },
    heal() {
      isCut = false;
      for (const link of links) {
        if (link.isNew) {
          // Its first packet was lost, so nothing was ever received.
          link.client.destroy();
          links.delete(link);
          continue;
        }
        link.upstream?.resume();
        link.client.resume();
      }
    },
  };
}
