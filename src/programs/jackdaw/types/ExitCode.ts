/** Exit codes of `jackdaw`, documented in docs/cli.md. */
export const ExitCode = {
  Ok: 0,
  /** The configuration or settings were refused by a check. */
  Refused: 1,
  /** The command line itself is wrong. */
  Usage: 2,
  /** Another operator applied a version first, or a VM's state forbids the command. */
  Conflict: 3,
  /** The platform, or the VM asked, did not answer. */
  Unreachable: 4,
  /** The change is accepted, but not yet in force everywhere. */
  Lagging: 5,
  /** What the command names does not exist. */
  NotFound: 6,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
