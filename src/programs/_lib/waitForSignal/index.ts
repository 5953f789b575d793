/** Resolves at the first `SIGTERM` or `SIGINT`. */
export const waitForSignal = (): Promise<string> =>
  new Promise((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
