/** Binds servers to addresses given in settings. */

import type { Server } from "node:net";
import { parseAddress } from "./address.ts";

/**
 * Starts listening at an address such as `127.0.0.1:7101`. Resolves once the
 * server is bound and rejects if binding fails.
 */
export function listen(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => resolve());
  });
}
