/** Parses network addresses in the `host:port` form used in settings. */

/** A host name or IP address, without brackets, and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address such as `127.0.0.1:7101` or `[::1]:7101` into its parts.
 *
 * @example
 * ```ts
 * parseAddress("127.0.0.1:7101").port; // 7101
 * ```
 */
export function parseAddress(address: string): Address {
  const portSeparator = address.lastIndexOf(":");
  const host = address.slice(0, portSeparator).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(portSeparator + 1)) };
}
