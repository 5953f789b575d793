/** Builds the cursor after `offset` tokens of a generation that `entry-1` holds. */
export const buildTestCursor = (offset: number) => ({
  generationId: 'gen_1',
  workspace: 'counter',
  service: 'review',
  attempt: 1,
  streamId: 's',
  backendServer: 'engine-1',
  vm: 'entry-1',
  offset,
  chain: 'c',
});
