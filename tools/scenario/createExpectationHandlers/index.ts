import { checkChain, renderPrompt } from '../../../standins/chain';
import { renderState } from '../_lib/renderState';
import { readVersion } from '../_lib/readVersion';
import type { Caller, CallerState, Expectation, RunContext } from '../types';

/** Handlers of the expectations by name; each returns messages about what is not met. */
export type ExpectationHandlers = {
  readonly [K in Expectation['that']]: (
    expectation: Extract<Expectation, { that: K }>,
    context: RunContext,
  ) => Promise<readonly string[]> | readonly string[];
};

const checkHolds = (holds: boolean, fault: string): readonly string[] => (holds ? [] : [fault]);

const checkCount = (
  what: string,
  count: number,
  { at_least: atLeast, at_most: atMost }: { readonly at_least: number; readonly at_most: number },
): readonly string[] =>
  checkHolds(
    count >= atLeast && count <= atMost,
    `${what}: ${count}, expected ${atLeast} to ${atMost}`,
  );

const findCaller = ({ callers }: RunContext, name: string): Caller => {
  const caller = callers.get(name);
  if (caller === undefined) throw new Error(`no caller named "${name}"`);
  return caller;
};

const readText = (state: CallerState): string => state.batches.map((batch) => batch.text).join('');

interface WholeAnswer {
  readonly choices?: readonly { readonly message?: { readonly content?: string } }[];
}

/** Reads the text of a streamed or an unstreamed answer. */
const readGeneratedText = (state: CallerState): string => {
  if (state.batches.length > 0 || state.end === null) return readText(state);
  try {
    const answer = JSON.parse(state.end.text) as WholeAnswer;
    return answer.choices?.[0]?.message?.content ?? '';
  } catch {
    return '';
  }
};

const checkWholeAnswer = (caller: Caller, tokens: number): readonly string[] => {
  const { request } = caller;
  const state = caller.readState();
  const prompt = `${String(request.body.model)}\n${renderPrompt(request.body)}`;
  const report = checkChain(prompt, [readGeneratedText(state)], { expectedTokens: tokens });
  const { missing, repeated, mixed } = report;
  return [
    ...checkHolds(state.end?.kind === 'finished', `${request.name}: ${renderState(state)}`),
    ...checkHolds(
      report.ok && report.tokens === tokens,
      `${request.name}: ${report.tokens} tokens of ${tokens}, missing ${missing}, repeated ${repeated}, mixed ${mixed}`,
    ),
  ];
};

const listChosenServers = (context: RunContext, name: string): readonly string[] =>
  context
    .listDecisions()
    .filter((decision) => decision.requestId === name && decision.choice !== '')
    .map((decision) => decision.choice);

interface CallLog {
  readonly calls: readonly { readonly requestId: string }[];
}

/** Counts how often the hosts of plain services executed the work of one call. */
const countRuns = async ({ deployment }: RunContext, work: string): Promise<number> => {
  const hosts = [...deployment.children.keys()].filter((name) =>
    /^(billing|register)-/u.test(name),
  );
  const logs = await Promise.all(
    hosts.map((host) => deployment.readControl(host, 'log') as Promise<CallLog>),
  );
  return logs.flatMap((log) => log.calls).filter((call) => call.requestId === work).length;
};

interface LoadAnswer {
  readonly models: readonly { readonly model: string; readonly version: string }[];
}

/** Lists the models that an engine reports as loaded, as `model@version`. */
const listLoadedModels = async (
  { deployment }: RunContext,
  name: string,
): Promise<readonly string[]> => {
  const response = await fetch(`${deployment.readUrl(name)}/load`);
  const { models } = (await response.json()) as LoadAnswer;
  return models.map(({ model, version }) => `${model}@${version}`).sort();
};

/** Creates the table of expectation handlers. */
export function createExpectationHandlers(): ExpectationHandlers {
  return {
    whole: ({ of, tokens }, context) => checkWholeAnswer(findCaller(context, of), tokens),
    same: ({ of }, context) => {
      const texts = of.map((name) => readGeneratedText(findCaller(context, name).readState()));
      return checkHolds(new Set(texts).size === 1, `${of.join(', ')}: texts differ`);
    },
    failed: (expectation, context) => {
      const state = findCaller(context, expectation.of).readState();
      const { end } = state;
      const tookMs = state.endedMs - state.startedMs;
      const { of, code, run_state: runState, within_ms: withinMs } = expectation;
      return [
        ...checkHolds(end?.kind === 'failed', `${of}: ${renderState(state)}`),
        ...checkHolds(
          code === '' || end?.code === code,
          `${of}: code ${end?.code}, expected ${code}`,
        ),
        ...checkHolds(
          runState === '' || end?.runState === runState,
          `${of}: run state ${end?.runState}, not ${runState}`,
        ),
        ...checkHolds(
          !expectation.retry_after || Number(end?.retryAfter) > 0,
          `${of}: no Retry-After`,
        ),
        ...checkHolds(withinMs === 0 || tookMs <= withinMs, `${of}: took ${Math.round(tookMs)} ms`),
      ];
    },
    answered: ({ of, run_state: runState, contains }, context) => {
      const state = findCaller(context, of).readState();
      return [
        ...checkHolds(state.end?.kind === 'finished', `${of}: ${renderState(state)}`),
        ...checkHolds(
          runState === '' || state.end?.runState === runState,
          `${of}: run state ${state.end?.runState}, not ${runState}`,
        ),
        ...checkHolds(
          state.end?.text.includes(contains) ?? false,
          `${of}: the answer does not contain "${contains}"`,
        ),
      ];
    },
    decisions: (expectation, context) => {
      const { kind, of } = expectation;
      const found = context
        .listDecisions()
        .filter((decision) => decision.kind === kind && (of === '' || decision.requestId === of));
      return checkCount(`decisions ${kind} of ${of || 'all'}`, found.length, expectation);
    },
    served: ({ of, in: allowed }, context) => {
      const { children } = context.deployment;
      const choices = listChosenServers(context, of);
      const foreign = choices.filter(
        (choice) =>
          !allowed.includes(choice) &&
          !allowed.includes(children.get(choice)?.availabilityZone ?? ''),
      );
      return [
        ...checkHolds(choices.length > 0, `${of}: no server was chosen`),
        ...checkHolds(foreign.length === 0, `${of}: served by ${foreign.join(', ')}`),
      ];
    },
    runs: async (expectation, context) =>
      checkCount(
        `runs of ${expectation.of}`,
        await countRuns(context, expectation.of),
        expectation,
      ),
    loaded: async ({ of, is }, context) => {
      const models = await listLoadedModels(context, of);
      return checkHolds(
        models.join() === [...is].sort().join(),
        `${of}: loaded ${models.join(', ')}, expected ${is.join(', ')}`,
      );
    },
    exit: ({ of, is }, context) => {
      const exit = context.deployment.children.get(of)?.readExitStatus() ?? 'running';
      return checkHolds(exit === is, `${of}: exit ${exit}, expected ${is}`);
    },
    wins: ({ of, is }, context) => {
      const ends = of.map((name) => findCaller(context, name).readState());
      const won = ends.filter((state) => state.end?.kind === 'finished').length;
      return checkHolds(won === is, `${of.join(', ')}: ${won} succeeded, expected ${is}`);
    },
    version: async ({ of, is }, context) => {
      const versions = await Promise.all(of.map((name) => readVersion(context, name)));
      return checkHolds(
        versions.every((version) => version === is),
        `versions ${versions.join(', ')}, expected ${is}`,
      );
    },
  };
}
