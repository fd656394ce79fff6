/** Addresses as the settings write them. */

/** A host and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/**
 * The parts of an address such as `127.0.0.1:7101` or `[::1]:7101`.
 *
 * @example
 * ```ts
 * parseAddress("127.0.0.1:7101").port; // 7101
 * ```
 */
export function parseAddress(address: string): Address {
  const at = address.lastIndexOf(":");
  const host = address.slice(0, at).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(at + 1)) };
}
