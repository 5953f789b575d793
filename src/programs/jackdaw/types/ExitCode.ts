/** Exit codes of `jackdaw`, documented in docs/cli.md. */
export const ExitCode = {
  Ok: 0,
  /** The configuration or the settings are invalid. */
  Refused: 1,
  /** The command line is invalid. */
  Usage: 2,
  /** Another operator applied a version first, or a VM's state forbids the command. */
  Conflict: 3,
  /** The platform, or the VM that was called, did not answer. */
  Unreachable: 4,
  /** The change is accepted, but not in force on all VMs yet. */
  Lagging: 5,
  /** The version, VM or request that the command names does not exist. */
  NotFound: 6,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
