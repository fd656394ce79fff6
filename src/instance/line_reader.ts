/**
 * Splits what peers send into lines, and bounds what is kept of lines that are
 * not complete, together for all connections.
 */

/** The reader of one connection. */
export interface LineReader {
  /** Returns whether the chunk was taken; false if too much is kept. */
  readonly add: (chunk: string) => boolean;
  /** Length of the incomplete line, in UTF-16 code units. */
  readonly incompleteLength: () => number;
  readonly close: () => void;
}

/** Creates the readers of the connections that share a bound. */
export function createLineReaders({ maxLength }: { maxLength: number }): {
  create: (onLine: (line: string) => void) => LineReader;
} {
  let keptLength = 0;
  return {
    create(onLine) {
      // Joined once the line is complete, to copy a long line only once.
      let parts: string[] = [];
      let length = 0;
      let isClosed = false;
      const takeLine = (): string => {
        const line = parts.join("");
        parts = [];
        keptLength -= length;
        length = 0;
        return line;
      };
      return {
        add(chunk) {
          let start = 0;
          for (;;) {
            const end = chunk.indexOf("\n", start);
            if (end < 0 || isClosed) break;
            const tail = chunk.slice(start, end);
            onLine(length === 0 ? tail : takeLine() + tail);
            start = end + 1;
          }
          if (isClosed || start === chunk.length) return true;
          const added = chunk.length - start;
          if (keptLength + added > maxLength) return false;
          parts.push(start === 0 ? chunk : chunk.slice(start));
          length += added;
          keptLength += added;
          return true;
        },
        incompleteLength: () => length,
        close() {
          isClosed = true;
          takeLine();
        },
      };
    },
  };
}
