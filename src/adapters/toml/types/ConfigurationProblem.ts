/** Kinds of problem that reading a settings or configuration file can meet. */
export const ProblemKind = {
  Unreadable: 'unreadable',
  Syntax: 'syntax',
  SetTwice: 'set-twice',
  Invalid: 'invalid',
} as const;

/** One of the kinds of problem. */
export type ProblemKind = (typeof ProblemKind)[keyof typeof ProblemKind];

/** One thing that is wrong in a TOML file. Never holds values, since these may be secret. */
export interface ConfigurationProblem {
  readonly kind: ProblemKind;
  readonly file: string;
  /** Counted from 1; 0 where the source cannot tell. */
  readonly line: number;
  /** Dotted key, or empty if the whole file is meant. */
  readonly key: string;
  readonly reason: string;
}
