import { createCaller } from '../createCaller';
import { findChildren } from '../_lib/findChildren';
import { NO_ANSWER, readAnswer } from '../_lib/readAnswer';
import {
  resumeGeneration,
  SCENARIO_KEY,
  sendGeneration,
  streamWithClient,
} from '../sendGeneration';
import type { Caller, CallerRequest, RunContext, Step } from '../types';

/** Handlers of the steps by their name in the scenario language. */
export type StepHandlers = {
  readonly [K in Step['do']]: (
    step: Extract<Step, { do: K }>,
    context: RunContext,
  ) => Promise<void> | void;
};

type SendStep = Extract<Step, { do: 'send' }>;

const buildHeaders = (step: {
  readonly name: string;
  readonly key: string;
  readonly idempotent: boolean;
}): Readonly<Record<string, string>> => ({
  Authorization: `Bearer ${SCENARIO_KEY}`,
  'Jackdaw-Request-Id': step.name,
  ...(step.key === '' ? {} : { 'Idempotency-Key': step.key }),
  ...(step.idempotent ? {} : { 'Jackdaw-Idempotent': 'false' }),
});

const buildGenerationRequest = (step: SendStep): CallerRequest => ({
  name: step.name,
  path: '/v1/chat/completions',
  headers: {
    ...buildHeaders(step),
    ...(step.timeout_ms === 0 ? {} : { 'Jackdaw-Timeout-Ms': String(step.timeout_ms) }),
  },
  body: {
    model: step.model,
    stream: step.via !== 'unstreamed',
    max_tokens: step.tokens,
    // Requests with the same key have the same prompt, whoever sends them.
    messages: [{ role: 'user', content: `Review dossier ${step.key || step.name}.` }],
  },
});

const listEntryUrls = ({ deployment }: RunContext): readonly string[] =>
  [...deployment.children.keys()]
    .filter((name) => name.startsWith('entry-'))
    .map((name) => deployment.readUrl(name));

const addCaller = (context: RunContext, caller: Caller): void => {
  context.callers.set(caller.request.name, caller);
  context.notifier.record();
};

const findCaller = ({ callers }: RunContext, name: string): Caller => {
  const caller = callers.get(name);
  if (caller === undefined) throw new Error(`no caller named "${name}" before this step`);
  return caller;
};

const createSignalHandler =
  (name: NodeJS.Signals) =>
  (step: { readonly target: string }, context: RunContext): void => {
    const found = findChildren(context, step.target);
    if (found.length === 0) throw new Error(`no process "${step.target}"`);
    found.forEach((child) => child.process.kill(name));
  };

const SENDERS: Readonly<
  Record<SendStep['via'], (caller: Caller, baseUrl: string, context: RunContext) => Promise<void>>
> = {
  plain: sendGeneration,
  unstreamed: sendGeneration,
  client: (caller, _baseUrl, context) => streamWithClient(caller, listEntryUrls(context)),
};

const sendCall = async (caller: Caller, baseUrl: string): Promise<void> => {
  const { path, headers, body } = caller.request;
  const connection = caller.startConnection();
  const end = await fetch(`${baseUrl}${path}`, {
    method: 'POST',
    headers: { ...headers, 'Content-Type': 'application/json' },
    body: JSON.stringify(body),
    signal: connection.abort.signal,
  })
    .then(readAnswer)
    .catch(() => NO_ANSWER);
  connection.recordEnd(end);
};

const runApply = async (
  caller: Caller,
  step: Extract<Step, { do: 'apply' }>,
  { deployment }: RunContext,
): Promise<void> => {
  const folder = await deployment.writeConfiguration(step.name, step.set);
  const { code, output } = await deployment.runJackdaw([
    'apply',
    folder,
    '--expect-version',
    String(step.expect_version),
  ]);
  caller.readConnection().recordEnd({
    ...NO_ANSWER,
    kind: code === 0 ? 'finished' : 'failed',
    status: code,
    text: output,
  });
};

/** Creates the table of step handlers. */
export function createStepHandlers(): StepHandlers {
  return {
    send: (step, context) => {
      const caller = createCaller(buildGenerationRequest(step), context.notifier);
      addCaller(context, caller);
      const baseUrl = context.deployment.readUrl(step.entry);
      context.running.push(SENDERS[step.via](caller, baseUrl, context));
    },
    return: (step, context) => {
      const first = findCaller(context, step.name);
      const baseUrl = context.deployment.readUrl(step.entry);
      if (step.as === '') {
        context.running.push(resumeGeneration(first, baseUrl, step.gives));
        return;
      }
      const request = { ...first.request, name: step.as };
      const second = createCaller(request, context.notifier, first.readState().batches);
      addCaller(context, second);
      context.running.push(resumeGeneration(second, baseUrl, step.gives));
    },
    call: (step, context) => {
      const request: CallerRequest = {
        name: step.name,
        path: `/services/${step.service}/run`,
        headers: buildHeaders(step),
        // Calls with the same key have the same work, whoever sends them.
        body: { work: step.key || step.name },
      };
      const caller = createCaller(request, context.notifier);
      addCaller(context, caller);
      context.running.push(sendCall(caller, context.deployment.readUrl(step.entry)));
    },
    abandon: (step, context) => findCaller(context, step.name).readConnection().abort.abort(),
    kill: createSignalHandler('SIGKILL'),
    freeze: createSignalHandler('SIGSTOP'),
    thaw: createSignalHandler('SIGCONT'),
    terminate: createSignalHandler('SIGTERM'),
    start: async (step, context) => {
      await Promise.all(findChildren(context, step.target).map((child) => child.restart()));
    },
    fault: async (step, context) => {
      for (const child of findChildren(context, step.target)) {
        await context.deployment.setFaults(child.name, step.path, step.set);
      }
    },
    apply: (step, context) => {
      const request: CallerRequest = { name: step.name, path: '', headers: {}, body: {} };
      const caller = createCaller(request, context.notifier);
      addCaller(context, caller);
      context.running.push(runApply(caller, step, context));
    },
    wait: () => undefined,
  };
}
