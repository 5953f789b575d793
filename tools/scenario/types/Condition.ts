/** Condition that a step waits for. */
export type Condition =
  /** The caller has received at least `count` tokens. */
  | { readonly kind: 'token'; readonly count: number; readonly name: string }
  /** The caller's request has ended, successfully or not. */
  | { readonly kind: 'end'; readonly name: string }
  /** An entry has logged the choice of a backend server for the caller's request. */
  | { readonly kind: 'route'; readonly name: string }
  | { readonly kind: 'exit'; readonly name: string }
  /** A host of a plain service has executed at least `count` calls. */
  | { readonly kind: 'calls'; readonly count: number; readonly name: string }
  /** The platform's VM list has been read at least `count` times since its counts were reset. */
  | { readonly kind: 'reads'; readonly count: number; readonly name: string }
  /** At least this configuration version is in force at an entry. */
  | { readonly kind: 'version'; readonly count: number; readonly name: string }
  | { readonly kind: 'ready'; readonly name: string }
  | { readonly kind: 'unready'; readonly name: string }
  /** At least `count` lines in the logs of all processes contain the text. */
  | { readonly kind: 'lines'; readonly text: string; readonly count: number }
  /** The process has logged a line that contains the text. */
  | { readonly kind: 'log'; readonly text: string; readonly name: string };
