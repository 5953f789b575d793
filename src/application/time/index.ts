export { createArrivalDating, type ArrivalDating } from './createArrivalDating';
export { createSendDating, type SendDating } from './createSendDating';
export { createSuspensionWatch, type SuspensionWatch } from './createSuspensionWatch';
export { startLoop, type LoopOptions } from './startLoop';
export { waitDelay } from './waitDelay';
