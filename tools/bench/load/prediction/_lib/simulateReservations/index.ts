import type { Randomness } from '../../../../../../src/application/ports';
import { addOutputSample } from '../../../../../../src/domain/prediction';
import type { OutputLengthSamples } from '../../../../../../src/domain/prediction';
import type { Predictor, ReservationFigures } from '../../types';

/** Options of a run. */
export interface ReservationOptions {
  readonly lengths: readonly number[];
  readonly maxTokens: number;
  /** Number of tokens that fit into the engine's memory. */
  readonly capacityTokens: number;
  /** Steps (one token each) between two arrivals, on average. */
  readonly gapSteps: number;
}

interface RunningGeneration {
  readonly length: number;
  readonly reserved: number;
  readonly held: number;
}

interface RunState {
  readonly running: readonly RunningGeneration[];
  readonly samples: OutputLengthSamples;
  readonly reservedTime: number;
  readonly usedTime: number;
  readonly refused: number;
  readonly evicted: number;
}

const INITIAL_STATE: RunState = {
  running: [],
  samples: { tokens: [] },
  reservedTime: 0,
  usedTime: 0,
  refused: 0,
  evicted: 0,
};

const sumReserved = (running: readonly RunningGeneration[]): number =>
  running.reduce((sum, { reserved }) => sum + reserved, 0);

/**
 * Simulates an engine whose memory is reserved by predicted length.
 *
 * A request whose reservation does not fit is refused. A generation that outgrows its reservation
 * gets a larger one if that fits; otherwise it is evicted, and its reservation was wasted. Only
 * tokens held over time by finished generations count as used. Since a generation grows token by
 * token, even a reservation of exactly the right length is half unused.
 */
export function simulateReservations(
  predictor: Predictor,
  pattern: string,
  options: ReservationOptions,
  randomness: Randomness,
): ReservationFigures {
  const { lengths, maxTokens, capacityTokens, gapSteps } = options;

  const addArrival = (state: RunState, length: number): RunState => {
    const draw = randomness.readFraction();
    const reserved = predictor.predict(state.samples.tokens, maxTokens, draw);
    if (sumReserved(state.running) + reserved > capacityTokens) {
      return { ...state, refused: state.refused + 1 };
    }
    return { ...state, running: [...state.running, { length, reserved, held: 0 }] };
  };
  const extend = (state: RunState, generation: RunningGeneration): RunState => {
    const { tokens } = state.samples;
    const draw = randomness.readFraction();
    const reserved = predictor.extend(tokens, maxTokens, generation.reserved, draw);
    const others = state.running.filter((other) => other !== generation);
    if (sumReserved(others) + reserved > capacityTokens) {
      return { ...state, running: others, evicted: state.evicted + 1 };
    }
    return { ...state, running: [...others, { ...generation, reserved }] };
  };
  /** Simulates the time until the next arrival, in steps of one token for each generation. */
  const simulateSteps = (before: RunState, steps: number): RunState => {
    let state = before;
    for (let step = 0; step < steps && state.running.length > 0; step += 1) {
      const grown = state.running.map((one) => ({ ...one, held: one.held + 1 }));
      const ended = grown.filter(({ held, length }) => held >= length);
      state = {
        ...state,
        running: grown.filter(({ held, length }) => held < length),
        samples: ended.reduce((held, { length }) => addOutputSample(held, length), state.samples),
        reservedTime: state.reservedTime + sumReserved(grown),
        usedTime:
          state.usedTime + ended.reduce((sum, { length }) => sum + (length * length) / 2, 0),
      };
      state = state.running.filter(({ held, reserved }) => held >= reserved).reduce(extend, state);
    }
    return state;
  };

  const end = lengths.reduce((state, length) => {
    const steps = Math.round(-Math.log(1 - randomness.readFraction()) * gapSteps);
    return addArrival(simulateSteps(state, steps), length);
  }, INITIAL_STATE);
  const done = simulateSteps(end, maxTokens);
  return {
    predictor: predictor.name,
    pattern,
    wasted: 1 - done.usedTime / Math.max(1, done.reservedTime),
    refused: done.refused / lengths.length,
    evicted: done.evicted / lengths.length,
  };
}
