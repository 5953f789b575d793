export { chooseRelay, type RelayChoice } from './chooseRelay';
export { drawRelayCandidates, type RelayDraw } from './drawRelayCandidates';
export type { FailureCause, Relay, RelayCandidate, ServerPath } from './types';
