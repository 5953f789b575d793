export { measureLimit, type LimitMeasure } from './measureLimit';
export { runLimitModel } from './runLimitModel';
export {
  LimitPolicy,
  type LimitArrival,
  type LimitModel,
  type LimitModelResult,
  type LimitTrouble,
} from './types';
