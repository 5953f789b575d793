import { Command, Option, UsageError } from 'clipanion';
import { createSeededRandomness } from '../../_lib/createSeededRandomness';
import { createPredictors } from '../_lib/createPredictors';
import { drawLengths, LENGTH_PATTERNS } from '../_lib/drawLengths';
import { simulateReservations } from '../_lib/simulateReservations';

const REQUESTS = 600;
const MAX_TOKENS = 4096;
const CAPACITY_TOKENS = 16_384;

/**
 * Steps between arrivals: keeps about 14 generations of 900 tokens running, more than fit with
 * reservations of the full limit.
 */
const GAP_STEPS = 65;

/** Compares predictors of the output length by wasted reservation and refusals. */
export class PredictionCommand extends Command {
  static override paths = [['prediction']];

  static override usage = Command.Usage({
    description: 'Compares predictions of the output length by wasted reservation and refusals.',
  });

  seed = Option.String('--seed', '1');

  async execute(): Promise<void> {
    const seed = Number(this.seed);
    if (!Number.isInteger(seed)) throw new UsageError(`--seed: "${this.seed}" is not a number`);
    const figures = Object.entries(LENGTH_PATTERNS).flatMap(([name, pattern]) => {
      const lengths = drawLengths(pattern, REQUESTS, MAX_TOKENS, createSeededRandomness(seed));
      const options = {
        lengths,
        maxTokens: MAX_TOKENS,
        capacityTokens: CAPACITY_TOKENS,
        gapSteps: GAP_STEPS,
      };
      return createPredictors().map((predictor) =>
        simulateReservations(predictor, name, options, createSeededRandomness(seed + 1)),
      );
    });
    figures.forEach(({ pattern, predictor, wasted, refused, evicted }) => {
      const parts = [wasted, refused, evicted].map((part) => `${(part * 100).toFixed(1)}%`);
      this.context.stdout.write(`${pattern} | ${predictor} | ${parts.join(' | ')}\n`);
    });
    this.context.stdout.write(`${JSON.stringify({ seed, figures })}\n`);
  }
}
