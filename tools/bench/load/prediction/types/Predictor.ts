/** Predicts the output length of a generation, in tokens. */
export interface Predictor {
  readonly name: string;
  /** Predicts from the lengths of finished generations of the same service and workspace. */
  readonly predict: (lengths: readonly number[], maxTokens: number, draw: number) => number;
  /** Predicts a larger length for a generation that outgrew `reserved` tokens. */
  readonly extend: (
    lengths: readonly number[],
    maxTokens: number,
    reserved: number,
    draw: number,
  ) => number;
}
