import test from 'ava';
import {
  buildOpenServers,
  buildServerReport,
  createFakeClock,
  createSeededRandomness,
} from '../../../../../standins/fakes';
import { createModelDirectory, MODEL_SERVICE } from '../../../../../standins/model';
import type { StreamRun } from '../../types';
import { chooseStreamPlacement } from '.';

const IDS = Array.from({ length: 12 }, (_, index) => `i-${index}`);

/** A stream whose caller has some events, before servers of which one holds the prompt. */
const build = (holder: string, offset: number) => {
  const clock = createFakeClock();
  const directory = createModelDirectory(clock, IDS);
  const asked: string[] = [];
  const run = {
    dependencies: {
      availabilityZone: 'z0',
      clock,
      directory,
      randomness: createSeededRandomness(1),
      tables: { readCurrent: () => null },
      reservePrompt: async () => 0,
      client: {
        readReport: async ({ id }: { readonly id: string }) => {
          asked.push(id);
          return buildServerReport({});
        },
        readCachedPromptParts: async ({ id }: { readonly id: string }) =>
          new Map(id === holder ? [['p', 7900]] : []),
      },
    },
    context: {
      service: MODEL_SERVICE,
      servers: buildOpenServers(() => directory.listServing(MODEL_SERVICE)),
      request: {
        requestId: 'r',
        tokens: { prompt: 8200, maxOutput: 840 },
        promptParts: [{ id: 'p', tokens: 8000 }],
      },
      route: { latencyGoalMs: 4500 },
    },
    paces: { readEnginePaces: () => ({ prefillMsPerToken: 0.125, runMs: 6000 }) },
    copy: null,
    readState: () => ({ offset }),
  } as unknown as StreamRun;
  return { asked, run };
};

// Symptom: when VMs are lost, the streams that come back pause for 1 to 2 s, and prompts of whole bursts
// are read again.
// Sequence: runs have moved between servers; the caller comes back through another VM, which asks the
// four servers that the prompt belongs to by rank; the one that ran it last is not among them.
// Cause: the rank says where a prompt was sent first, not where its run ended up.
test('whichever of twelve servers still holds the prompt is found for a caller that comes back', async (t) => {
  for (const holder of IDS) {
    const { run } = build(holder, 5);
    const chosen = await chooseStreamPlacement(run, new Set());
    t.is(chosen?.server.id, holder);
    t.true(chosen?.isPromptCached);
    t.is(chosen?.expectedFirstEventMs, 0);
  }
});

test('a new prompt asks four servers', async (t) => {
  const { asked, run } = build('i-3', 0);
  t.false((await chooseStreamPlacement(run, new Set()))?.isPromptCached);
  t.is(asked.length, 4);
});
