import { err, ok, type Result } from 'neverthrow';
import type { CursorError } from '../../../../domain/cursor';
import type { Cursor } from '../../../../domain/types';
import type { CallerError, CursorSigner } from '../../types';

const MESSAGE_BY_KIND: Readonly<Record<CursorError['kind'], string>> = {
  malformed: 'Last-Event-ID is not a cursor of this system.',
  'bad-signature': 'The cursor was not signed by this deployment, or was altered.',
};

/**
 * Checks the cursor with which a caller resumes.
 *
 * @param expected - the caller's workspace, and the generation in the path
 */
export const checkCursor = (
  cursors: CursorSigner,
  text: string | undefined,
  expected: { readonly workspace: string; readonly generationId: string },
): Result<Cursor, CallerError> => {
  if (text === undefined || text === '') {
    return err({ kind: 'bad-cursor', message: 'The header Last-Event-ID is missing.' });
  }
  const cursor = cursors.verify(text);
  if (cursor.isErr()) {
    return err({ kind: 'bad-cursor', message: MESSAGE_BY_KIND[cursor.error.kind] });
  }
  const { generationId, workspace } = cursor.value;
  const isOwn = workspace === expected.workspace && generationId === expected.generationId;
  return isOwn ? ok(cursor.value) : err({ kind: 'foreign-cursor' });
};
