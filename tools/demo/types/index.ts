export type { DemoOptions, DemoOutput, DemoReport } from './Demo';
