import test from 'ava';
import {
  buildOpenServers,
  buildServerReport,
  createFakeClock,
  createSeededRandomness,
} from '../../../../../standins/fakes';
import { createSimulatedDirectory, SIMULATED_SERVICE } from '../../../../../standins/model';
import { createServerPaces } from '../../../paces';
import type { StreamRun } from '../../types';
import { chooseStreamPlacement } from '.';

const IDS = Array.from({ length: 12 }, (_, index) => `i-${index}`);

/**
 * A stream whose caller has events up to `offset`, and servers of which one has the prompt cached.
 */
const build = (holder: string, offset: number) => {
  const clock = createFakeClock();
  const directory = createSimulatedDirectory(clock, IDS);
  const asked: string[] = [];
  const run = {
    dependencies: {
      availabilityZone: 'z0',
      clock,
      directory,
      randomness: createSeededRandomness(1),
      serverPaces: createServerPaces({ clock }),
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
      service: SIMULATED_SERVICE,
      servers: buildOpenServers(() => directory.listServing(SIMULATED_SERVICE)),
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

// Guards against processing prompts again for resumed streams. After the loss of a VM, callers come
// back through other VMs. The rank says where a prompt was sent first, but runs move between
// servers: with four queries the server that ran the stream last was often missed, and streams
// paused for 1 to 2 s.
test('finds the server that has the prompt cached, among twelve, for a resumed stream', async (t) => {
  for (const holder of IDS) {
    const { run } = build(holder, 5);
    const chosen = await chooseStreamPlacement(run, new Set());
    t.is(chosen?.server.id, holder);
    t.true(chosen?.isPromptCached);
    t.is(chosen?.expectedFirstEventMs, 0);
  }
});

test('queries four servers for a new prompt', async (t) => {
  const { asked, run } = build('i-3', 0);
  t.false((await chooseStreamPlacement(run, new Set()))?.isPromptCached);
  t.is(asked.length, 4);
});
