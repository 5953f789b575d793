export { LoadCommand } from './LoadCommand';
export { PredictionCommand } from './prediction';
