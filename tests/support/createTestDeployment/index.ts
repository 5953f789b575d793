import { createClaims } from '../../../src/application/claims';
import type { GenerationFeed, ResumeRequest } from '../../../src/application/ports';
import type { GenerationRequest } from '../../../src/domain/types';
import {
  createFakeClock,
  createMemoryObjectStore,
  createMemoryTableStore,
  createSeededRandomness,
} from '../../../standins/fakes';
import { createScriptedEngines } from '../createScriptedEngines';
import { buildRequest, createTestEntry, type TestEntry } from '../createTestEntry';
import { createTestPeers } from '../createTestPeers';
import { startFeedReader, type FeedReader } from '../startFeedReader';

const { signal } = new AbortController();

const readFeed = (feed: GenerationFeed): FeedReader => startFeedReader(feed);

/** Creates two entries, one store and three engines, all in memory with one fake clock. */
export const createTestDeployment = () => {
  const clock = createFakeClock();
  const engines = createScriptedEngines();
  const network = createTestPeers();
  const tableStore = createMemoryTableStore();
  const objectStore = createMemoryObjectStore();

  const addEntry = (vm: string, seed: number): TestEntry => {
    const entry = createTestEntry({
      vm,
      clock,
      engines,
      serverNames: ['engine-1', 'engine-2', 'engine-3'],
      peers: network.peers,
      claims: createClaims({
        tableStore,
        objectStore,
        clock,
        randomness: createSeededRandomness(seed),
        vm,
        peerAddress: vm,
        readAnswerTtlMs: () => 60_000,
      }),
    });
    network.add(vm, entry.generations);
    return entry;
  };

  const first = addEntry('entry-1', 1);
  const second = addEntry('entry-22', 2);

  /** Starts a generation at an entry and makes its engine send the first `tokens` tokens. */
  const open = async (
    entry: TestEntry,
    tokens: number,
    change: Partial<GenerationRequest> = {},
  ) => {
    const before = engines.starts.length;
    const opening = entry.generations.startGeneration(buildRequest(change), signal);
    await engines.waitForStarts(before + 1);
    const stream = engines.starts[before]!;
    engines.emit(stream, tokens);
    const reader = readFeed((await opening)._unsafeUnwrap());
    await reader.waitForTokens(tokens);
    return { stream, reader };
  };

  const resume = (entry: TestEntry, reader: FeedReader, change: Partial<ResumeRequest> = {}) =>
    entry.generations.resumeGeneration(
      {
        requestId: 'req_2',
        cursor: reader.cursors.at(-1)!,
        prefixTokenIds: null,
        request: null,
        ...change,
      },
      signal,
    );

  return { clock, engines, network, tableStore, first, second, open, resume, readFeed, signal };
};
