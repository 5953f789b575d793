/** Resolves at the first `SIGTERM` or `SIGINT`; a further one does not end the process. */
export const waitForSignal = (): Promise<string> =>
  new Promise((resolve) => {
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
