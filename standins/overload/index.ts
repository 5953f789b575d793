export { createSimulatedProcessor, type SimulatedProcessor } from './createSimulatedProcessor';
export {
  simulateConnectionWave,
  type ConnectionWave,
  type WaveRequest,
} from './simulateConnectionWave';
