import { err, ok, type Result } from 'neverthrow';
import { checkCaller, type Caller } from '../../../../application/access';
import type { CallerContext, CallerDependencies, CallerError } from '../../types';

/** Checks that this entry accepts new work, and authenticates the caller. */
export const checkNewWork = (
  context: CallerContext,
  { configuration, isCutOff, shutdown }: CallerDependencies,
): Result<Caller, CallerError> => {
  if (shutdown.isDraining()) return err({ kind: 'shutting-down' });
  if (isCutOff()) return err({ kind: 'cut-off' });
  const caller = checkCaller(configuration, context.req.header('Authorization'));
  return caller.isOk() ? ok(caller.value) : err(caller.error);
};
