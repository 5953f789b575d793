import { checkChain, renderPrompt } from '../../../standins/chain';
import { renderState } from '../_lib/renderState';
import { readVersion } from '../_lib/readVersion';
import type { Caller, CallerState, Expectation, RunContext } from '../types';

/** Handlers of the expectations by name; each gives what did not hold, or nothing. */
export type ExpectationHandlers = {
  readonly [K in Expectation['that']]: (
    expectation: Extract<Expectation, { that: K }>,
    context: RunContext,
  ) => Promise<readonly string[]> | readonly string[];
};

const checkThat = (holds: boolean, fault: string): readonly string[] => (holds ? [] : [fault]);

const checkCount = (
  what: string,
  count: number,
  { at_least: atLeast, at_most: atMost }: { readonly at_least: number; readonly at_most: number },
): readonly string[] =>
  checkThat(
    count >= atLeast && count <= atMost,
    `${what}: ${count}, not from ${atLeast} to ${atMost}`,
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

/** Text of a streamed or an unstreamed answer. */
const readGeneratedText = (state: CallerState): string => {
  if (state.batches.length > 0 || state.end === null) return readText(state);
  try {
    const answer = JSON.parse(state.end.text) as WholeAnswer;
    return answer.choices?.[0]?.message?.content ?? '';
  } catch {
    return '';
  }
};

const checkWhole = (caller: Caller, tokens: number): readonly string[] => {
  const { request } = caller;
  const state = caller.readState();
  const prompt = `${String(request.body.model)}\n${renderPrompt(request.body)}`;
  const report = checkChain(prompt, [readGeneratedText(state)], { expectedTokens: tokens });
  const { missing, repeated, mixed } = report;
  return [
    ...checkThat(state.end?.kind === 'finished', `${request.name}: ${renderState(state)}`),
    ...checkThat(
      report.ok && report.tokens === tokens,
      `${request.name}: ${report.tokens} tokens of ${tokens}, missing ${missing}, repeated ${repeated}, mixed ${mixed}`,
    ),
  ];
};

const listChoices = (context: RunContext, name: string): readonly string[] =>
  context
    .listDecisions()
    .filter((decision) => decision.requestId === name && decision.choice !== '')
    .map((decision) => decision.choice);

interface CallLog {
  readonly calls: readonly { readonly requestId: string }[];
}

/** Counts how often hosts of plain services ran the work of one call. */
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

/** Lists what an engine says it holds, as `model@version`. */
const listModels = async ({ deployment }: RunContext, name: string): Promise<readonly string[]> => {
  const response = await fetch(`${deployment.readUrl(name)}/load`);
  const { models } = (await response.json()) as LoadAnswer;
  return models.map(({ model, version }) => `${model}@${version}`).sort();
};

/** Creates the table of expectation handlers. */
export function createExpectationHandlers(): ExpectationHandlers {
  return {
    whole: ({ of, tokens }, context) => checkWhole(findCaller(context, of), tokens),
    same: ({ of }, context) => {
      const texts = of.map((name) => readGeneratedText(findCaller(context, name).readState()));
      return checkThat(new Set(texts).size === 1, `${of.join(', ')}: not one generation`);
    },
    failed: (expectation, context) => {
      const state = findCaller(context, expectation.of).readState();
      const { end } = state;
      const tookMs = state.endedMs - state.startedMs;
      const { of, code, run_state: runState, within_ms: withinMs } = expectation;
      return [
        ...checkThat(end?.kind === 'failed', `${of}: ${renderState(state)}`),
        ...checkThat(code === '' || end?.code === code, `${of}: code ${end?.code}, not ${code}`),
        ...checkThat(
          runState === '' || end?.runState === runState,
          `${of}: run state ${end?.runState}, not ${runState}`,
        ),
        ...checkThat(
          !expectation.retry_after || Number(end?.retryAfter) > 0,
          `${of}: no Retry-After`,
        ),
        ...checkThat(withinMs === 0 || tookMs <= withinMs, `${of}: took ${Math.round(tookMs)} ms`),
      ];
    },
    answered: ({ of, run_state: runState, contains }, context) => {
      const state = findCaller(context, of).readState();
      return [
        ...checkThat(state.end?.kind === 'finished', `${of}: ${renderState(state)}`),
        ...checkThat(
          runState === '' || state.end?.runState === runState,
          `${of}: run state ${state.end?.runState}, not ${runState}`,
        ),
        ...checkThat(state.end?.text.includes(contains) ?? false, `${of}: no "${contains}" in it`),
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
      const choices = listChoices(context, of);
      const foreign = choices.filter(
        (choice) =>
          !allowed.includes(choice) &&
          !allowed.includes(children.get(choice)?.availabilityZone ?? ''),
      );
      return [
        ...checkThat(choices.length > 0, `${of}: no server was chosen`),
        ...checkThat(foreign.length === 0, `${of}: served by ${foreign.join(', ')}`),
      ];
    },
    runs: async (expectation, context) =>
      checkCount(
        `runs of ${expectation.of}`,
        await countRuns(context, expectation.of),
        expectation,
      ),
    loaded: async ({ of, is }, context) => {
      const models = await listModels(context, of);
      return checkThat(
        models.join() === [...is].sort().join(),
        `${of}: holds ${models.join(', ')}, not ${is.join(', ')}`,
      );
    },
    exit: ({ of, is }, context) => {
      const exit = context.deployment.children.get(of)?.readExitStatus() ?? 'running';
      return checkThat(exit === is, `${of}: exit ${exit}, not ${is}`);
    },
    wins: ({ of, is }, context) => {
      const ends = of.map((name) => findCaller(context, name).readState());
      const won = ends.filter((state) => state.end?.kind === 'finished').length;
      return checkThat(won === is, `${of.join(', ')}: ${won} won, not ${is}`);
    },
    version: async ({ of, is }, context) => {
      const versions = await Promise.all(of.map((name) => readVersion(context, name)));
      return checkThat(
        versions.every((version) => version === is),
        `versions ${versions.join(', ')}, not ${is}`,
      );
    },
  };
}
