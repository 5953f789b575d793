export { createModelDirectory, MODEL_SERVICE, MODEL_ZONES } from './createModelDirectory';
export { runModelLoad, type ModelLoad, type ModelResult } from './runModelLoad';
