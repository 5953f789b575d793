import {
  createGenerationState,
  updateGeneration,
  type GenerationEffect,
  type GenerationInput,
  type GenerationPolicy,
  type GenerationState,
  type ReaderId,
} from '../../../../src/domain/generation';
import { RefusalCode } from '../../../../src/domain/types';
import { computeScriptedToken } from '../../../support/createScriptedEngines';

/** One step of a random history: an action, and numbers that choose what it acts on. */
export interface WorldStep {
  readonly action: WorldAction;
  readonly pick: number;
  readonly size: number;
}

interface Connection {
  readonly reader: ReaderId;
  readonly stream: Stream;
  position: number;
}

interface Stream {
  readonly name: string;
  readonly tokenIds: number[];
}

/** A generation among engines and callers that lose, delay and repeat whatever a step says. */
export interface GenerationWorld {
  run(step: WorldStep): void;
  /** Lets everything work from now on, and gives the phase in which the generation ends. */
  settle(): GenerationState['phase'];
  readonly faults: readonly string[];
  countSent(): number;
}

type Update = typeof updateGeneration;

const SERVERS = 4;
const SETTLE_STEPS = 100;
const REFUSAL = { code: RefusalCode.QueueFull, message: 'full', retryAfterMs: 50 };

/** Creates a world around an update function, which may be a broken one. */
export const createGenerationWorld = (
  policy: GenerationPolicy,
  update: Update = updateGeneration,
): GenerationWorld => {
  let state = createGenerationState(policy);
  const faults: string[] = [];
  const delivered: number[] = [];
  const opens: ReaderId[] = [];
  const connections: Connection[] = [];
  const streams = new Map<number, Stream>();
  const unsent = new Set<number>();

  const deliver = ({ attempt, batch }: Extract<GenerationEffect, { kind: 'deliver' }>): void => {
    if (batch.offset !== delivered.length) faults.push(`offset ${batch.offset}`);
    if (!('tokenIds' in batch)) {
      faults.push('a piece without token ids');
      return;
    }
    batch.tokenIds.forEach((tokenId) => {
      const wanted = computeScriptedToken(delivered, streams.get(attempt)?.name ?? '');
      if (tokenId !== wanted) faults.push(`token ${delivered.length} of another run`);
      delivered.push(tokenId);
    });
  };

  const connect = (reader: ReaderId, position: number): void => {
    const stream = streams.get(reader.attempt);
    if (stream) connections.push({ reader, stream, position });
  };

  const dispatch = (input: GenerationInput): void => {
    const next = update(state, input);
    state = next.state;
    next.effects.forEach((effect) => {
      if (effect.kind === 'open-attempt') opens.push(effect.reader);
      if (effect.kind === 'resume-stream') connect(effect.reader, effect.offset);
      if (effect.kind === 'deliver') deliver(effect);
    });
  };

  const grant = (reader: ReaderId): void => {
    const server = `engine-${reader.attempt % SERVERS}`;
    dispatch({ kind: 'sending', reader, backendServer: server });
    streams.set(reader.attempt, { name: `s${reader.attempt}`, tokenIds: [...delivered] });
    connect(reader, delivered.length);
  };

  const emit = (connection: Connection, size: number, finishReason: string | null): void => {
    const { tokenIds, name } = connection.stream;
    const end = connection.position + size;
    while (tokenIds.length < end) tokenIds.push(computeScriptedToken(tokenIds, name));
    const batch = {
      offset: connection.position,
      tokenIds: tokenIds.slice(connection.position, end),
      text: '',
      finishReason,
    };
    Object.assign(connection, { position: end });
    dispatch({ kind: 'batch', reader: connection.reader, batch });
  };

  const takeOpen = (pick: number): ReaderId | undefined =>
    opens.splice(pick % Math.max(1, opens.length), 1)[0];
  const chooseConnection = (pick: number): Connection | undefined =>
    connections[pick % Math.max(1, connections.length)];

  const actions = {
    grant: ({ pick }: WorldStep) => {
      const reader = takeOpen(pick);
      if (reader) grant(reader);
    },
    refuseSlot: ({ pick }: WorldStep) => {
      const reader = takeOpen(pick);
      if (reader) dispatch({ kind: 'slot-refused', reader, refusal: REFUSAL });
    },
    emit: ({ pick, size }: WorldStep) => {
      const connection = chooseConnection(pick);
      if (connection) emit(connection, size, null);
    },
    finish: ({ pick, size }: WorldStep) => {
      const connection = chooseConnection(pick);
      if (connection) emit(connection, size, 'stop');
    },
    breakConnection: ({ pick }: WorldStep) => {
      const connection = chooseConnection(pick);
      if (connection) dispatch({ kind: 'broken', reader: connection.reader });
    },
    loseStream: ({ pick }: WorldStep) => {
      const connection = chooseConnection(pick);
      if (connection) dispatch({ kind: 'stream-gone', reader: connection.reader });
    },
    refuseStart: ({ pick }: WorldStep) => {
      const connection = chooseConnection(pick);
      const isFresh = connection?.reader.connection === 0 && connection.position === 0;
      if (!connection || !isFresh) return;
      unsent.add(connection.reader.attempt);
      connections.splice(connections.indexOf(connection), 1);
      dispatch({ kind: 'not-started', reader: connection.reader, refused: true });
    },
    suspect: ({ pick }: WorldStep) => {
      const connection = chooseConnection(pick);
      if (connection) dispatch({ kind: 'silent', reader: connection.reader, confirmed: false });
    },
    confirm: ({ pick }: WorldStep) => {
      const connection = chooseConnection(pick);
      if (connection) dispatch({ kind: 'silent', reader: connection.reader, confirmed: true });
    },
    retry: () => dispatch({ kind: 'retry-due' }),
    attach: () => dispatch({ kind: 'caller-attached' }),
    leave: () => dispatch({ kind: 'caller-left' }),
  };

  const findHeard = (): Connection | undefined =>
    connections.find(({ reader }) =>
      state.attempts.some(
        ({ attempt, connection }) => attempt === reader.attempt && connection === reader.connection,
      ),
    );

  dispatch({ kind: 'caller-attached' });
  dispatch({ kind: 'started' });

  return {
    run: (step) => actions[step.action](step),
    settle: () => {
      dispatch({ kind: 'caller-attached' });
      for (let step = 0; step < SETTLE_STEPS && state.phase === 'running'; step += 1) {
        opens.splice(0).forEach(grant);
        const heard = findHeard();
        if (heard) emit(heard, 1, step > SETTLE_STEPS / 5 ? 'stop' : null);
        else dispatch({ kind: 'retry-due' });
      }
      return state.phase;
    },
    faults,
    countSent: () => [...streams.keys()].filter((attempt) => !unsent.has(attempt)).length,
  };
};

/** Names of the actions, for generators of random histories. */
export const WORLD_ACTIONS = [
  'grant',
  'refuseSlot',
  'emit',
  'finish',
  'breakConnection',
  'loseStream',
  'refuseStart',
  'suspect',
  'confirm',
  'retry',
  'attach',
  'leave',
] as const;

/** One of the actions. */
export type WorldAction = (typeof WORLD_ACTIONS)[number];
