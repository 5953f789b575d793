import type { GenerationEffect } from '../../../../domain/generation';
import type { RunContext } from '../../types';
import { convertEngineError } from '../convertEngineError';
import { readStream } from '../readStream';

type ResumeStream = Extract<GenerationEffect, { kind: 'resume-stream' }>;

/**
 * Resumes the stream of an attempt over a new connection.
 *
 * @param context - Run that the attempt belongs to; receives each step as an input.
 * @param effect - Attempt, connection and offset.
 */
export const resumeStream = async (context: RunContext, effect: ResumeStream): Promise<void> => {
  const { reader, offset } = effect;
  const handle = context.handles.get(reader.attempt);
  if (!handle?.server) return context.dispatch({ kind: 'stream-gone', reader });
  handle.stream?.detach();
  const { clock, engineClient } = context.dependencies;
  Object.assign(handle, { stream: null, lastActivityMs: clock.readMonotonicMs() });
  const resumed = await engineClient.resumeStream(handle.server, handle.streamId, offset);
  if (resumed.isErr()) {
    const isGone = resumed.error.kind === 'not-started' || resumed.error.kind === 'stream-gone';
    if (isGone) Object.assign(handle, { isAtEngine: false });
    return context.dispatch(convertEngineError(resumed.error, reader));
  }
  const isStale = context.handles.get(reader.attempt) !== handle || handle.stream !== null;
  if (isStale) return resumed.value.detach();
  Object.assign(handle, { stream: resumed.value });
  return readStream(context, handle, reader, resumed.value);
};
