import { err, ok } from 'neverthrow';
import type {
  GenerationError,
  GenerationEvent,
  GenerationFeed,
  Generations,
  ResumeRequest,
} from '../../../src/application/ports';
import type { GenerationRequest } from '../../../src/domain/types';

/** Generations whose events and start failures the test sets. */
export interface ScriptedGenerations extends Generations {
  readonly requests: GenerationRequest[];
  readonly resumes: ResumeRequest[];
  readonly detached: string[];
  /** Resolves when a caller waits for an event. */
  readonly waiting: Promise<void>;
  failNextStart(error: GenerationError): void;
  push(event: GenerationEvent): void;
  pushText(words: readonly string[]): void;
  end(): void;
}

/** Creates generations that send every caller the events that the test pushes. */
export const createScriptedGenerations = (): ScriptedGenerations => {
  const events: (GenerationEvent | null)[] = [];
  const wakes = new Set<() => void>();
  const requests: GenerationRequest[] = [];
  const resumes: ResumeRequest[] = [];
  const detached: string[] = [];
  let startError: GenerationError | null = null;
  let noteWaiting: () => void = () => undefined;
  const waiting = new Promise<void>((resolve) => {
    noteWaiting = resolve;
  });
  const add = (event: GenerationEvent | null): void => {
    events.push(event);
    wakes.forEach((wake) => wake());
    wakes.clear();
  };

  async function* follow(from: number): AsyncGenerator<GenerationEvent> {
    for (let next = from; ; next += 1) {
      while (next >= events.length) {
        noteWaiting();
        await new Promise<void>((resolve) => {
          wakes.add(resolve);
        });
      }
      const event = events[next];
      if (event === null || event === undefined) return;
      yield event;
    }
  }
  const openFeed = (generationId: string, from: number): GenerationFeed => ({
    generationId,
    events: follow(from),
    detach: () => {
      detached.push(generationId);
    },
  });

  return {
    requests,
    resumes,
    detached,
    waiting,
    failNextStart: (error) => {
      startError = error;
    },
    push: add,
    pushText: (words) =>
      words.forEach((text, index) =>
        add({
          kind: 'tokens',
          batch: {
            offset: index,
            tokenIds: [100 + index],
            text,
            finishReason: index === words.length - 1 ? 'stop' : null,
          },
          cursor: {
            generationId: 'gen_1',
            workspace: 'counter',
            service: 'review',
            attempt: 1,
            streamId: 'gen_1.1.x',
            backendServer: 'engine-1',
            vm: 'entry-1',
            offset: index + 1,
            chain: `chain-${index + 1}`,
          },
        }),
      ),
    end: () => add(null),
    startGeneration: async (request) => {
      requests.push(request);
      if (startError !== null) return err(startError);
      return ok(openFeed('gen_1', 0));
    },
    resumeGeneration: async (resume) => {
      resumes.push(resume);
      return ok(openFeed(resume.cursor.generationId, resume.cursor.offset));
    },
    findGeneration: () => null,
    cancelGeneration: async (workspace, id) => workspace === 'counter' && id === 'gen_1',
    countRunning: () => 0,
  };
};
