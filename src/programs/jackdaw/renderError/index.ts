import type { ApplyError } from '../../../application/configuration';
import { ExitCode } from '../types';
import { renderChanges } from '../renderChanges';

/** Error message of a failed command and its exit code. */
export interface RenderedError {
  readonly lines: readonly string[];
  readonly exitCode: ExitCode;
}

type Handlers = {
  readonly [Kind in ApplyError['kind']]: (
    error: Extract<ApplyError, { kind: Kind }>,
  ) => RenderedError;
};

const HANDLERS: Handlers = {
  unavailable: ({ reason }) => ({
    lines: [`the table does not answer (${reason}); nothing was written, repeat the command`],
    exitCode: ExitCode.Unreachable,
  }),
  'bad-configuration': ({ reason }) => ({
    lines: [`the table holds a malformed configuration: ${reason}; nothing was written`],
    exitCode: ExitCode.Unreachable,
  }),
  'too-large': ({ bytes, limitBytes }) => ({
    lines: [
      `the configuration has ${bytes} bytes, the table's limit is ${limitBytes}; nothing was written`,
    ],
    exitCode: ExitCode.Refused,
  }),
  unknown: ({ version, applyId, reason }) => ({
    lines: [
      `the answer was lost (${reason}): version ${version} may have been applied`,
      `once the table answers, check whether "jackdaw history" shows apply id ${applyId}`,
    ],
    exitCode: ExitCode.Unreachable,
  }),
  conflict: ({ expectedVersion, newest, changes }) => ({
    lines: [
      `version ${newest?.version ?? 0} is in force (by ${newest?.appliedBy ?? 'nobody'}), ` +
        `not the expected ${expectedVersion}; nothing was written`,
      ...(changes.length === 0 ? [] : ['changes by others since then:']),
      ...renderChanges(changes),
      `merge these changes into the folder, check "jackdaw diff", then apply with ` +
        `--expect-version ${newest?.version ?? 0}`,
    ],
    exitCode: ExitCode.Conflict,
  }),
};

/** Renders a failed read or write of the configuration, with what to do next. */
export function renderError<Kind extends ApplyError['kind']>(
  error: Extract<ApplyError, { kind: Kind }>,
): RenderedError {
  const { kind } = error;
  return HANDLERS[kind](error);
}
