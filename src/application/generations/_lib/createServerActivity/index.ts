/** Times at which each backend server last delivered a token to this VM, on any stream. */
export interface ServerActivity {
  record(backendServer: string, nowMs: number): void;
  /** Monotonic time in milliseconds; -Infinity if the server has delivered no token. */
  readLastMs(backendServer: string): number;
}

/**
 * Creates an empty record.
 *
 * @returns Record.
 */
export const createServerActivity = (): ServerActivity => {
  const lastMs = new Map<string, number>();
  return {
    record: (backendServer, nowMs) => {
      lastMs.set(backendServer, nowMs);
    },
    readLastMs: (backendServer) => lastMs.get(backendServer) ?? -Infinity,
  };
};
