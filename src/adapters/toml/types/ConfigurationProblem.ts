/** Kinds of problem in a settings or configuration file. */
export const ProblemKind = {
  Unreadable: 'unreadable',
  Syntax: 'syntax',
  SetTwice: 'set-twice',
  Invalid: 'invalid',
} as const;

/** Kind of a problem in a settings or configuration file. */
export type ProblemKind = (typeof ProblemKind)[keyof typeof ProblemKind];

/** One problem in a TOML file. It never contains the value of a key, which may be secret. */
export interface ConfigurationProblem {
  readonly kind: ProblemKind;
  readonly file: string;
  /** Counted from 1; 0 if the line is not known. */
  readonly line: number;
  /** Dotted key; empty if the problem concerns the whole file. */
  readonly key: string;
  readonly reason: string;
}
