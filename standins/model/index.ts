export { runModelLoad, type ModelLoad, type ModelResult } from './runModelLoad';
