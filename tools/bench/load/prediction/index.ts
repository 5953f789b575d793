export { PredictionCommand } from './PredictionCommand';
