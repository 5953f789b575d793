export { cancelGenerationAnywhere } from './cancelGenerationAnywhere';
export type { CancellationDependencies, CancelledGeneration } from './cancelGenerationAnywhere';
