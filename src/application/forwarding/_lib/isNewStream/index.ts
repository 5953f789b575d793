import type { StreamRun } from '../../types';

/** True if no event of a stream was forwarded, in this response or an earlier one that it resumes. */
export const isNewStream = ({ context, readState }: StreamRun): boolean =>
  context.request.lastEventId === null && readState().offset === 0;
