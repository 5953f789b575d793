export { choosePollers, POLLERS_PER_SERVER } from './choosePollers';
export { estimateRunning } from './estimateRunning';
export type { RunningKnowledge } from './estimateRunning';
export { isNewerReport } from './isNewerReport';
