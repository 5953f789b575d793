import { computeSlope, type SlopeMeasure } from '../_lib/computeSlope';
import { runSlopePoint, type SlopeWindow } from '../_lib/runSlopePoint';
import { SlopeAxis, type SlopeFit, type SlopeLoad, type SlopePoint } from '../types';

/** Points of one axis and the lines fitted to them. */
export interface SlopeReport {
  readonly points: readonly SlopePoint[];
  readonly fits: Readonly<Record<SlopeMeasure, SlopeFit>>;
}

/** Options of the bench. */
export interface SlopesOptions extends SlopeWindow {
  readonly axes: readonly SlopeAxis[];
  /** Called after each point. */
  readonly onPoint: (axis: SlopeAxis, point: SlopePoint) => void;
}

const BASE_LOAD: SlopeLoad = {
  polledServers: 10,
  peers: 0,
  workspaces: 10,
  streams: 0,
  keyedRequests: 0,
};

const SIZES: Readonly<Record<SlopeAxis, readonly number[]>> = {
  [SlopeAxis.PolledServers]: [10, 100, 300, 600],
  [SlopeAxis.Peers]: [1, 4, 8, 16],
  [SlopeAxis.Workspaces]: [10, 100, 400, 1000],
  [SlopeAxis.Streams]: [0, 50, 100, 200],
  [SlopeAxis.KeyedRequests]: [0, 10, 20, 40],
};

const MEASURES: readonly SlopeMeasure[] = [
  'cpuPercent',
  'residentMb',
  'heapMb',
  'keeperCpuPercent',
  'keeperResidentMb',
  'tableReadsPerS',
  'tableWritesPerS',
];

const buildReport = (points: readonly SlopePoint[]): SlopeReport => {
  const fits = MEASURES.map((measure) => [measure, computeSlope(points, measure)]);
  return { points, fits: Object.fromEntries(fits) as SlopeReport['fits'] };
};

const runAxis = async (axis: SlopeAxis, options: SlopesOptions): Promise<SlopeReport> => {
  const points: SlopePoint[] = [];
  for (const size of SIZES[axis]) {
    const usage = await runSlopePoint({ ...BASE_LOAD, [axis]: size }, options);
    const point = { size, ...usage };
    points.push(point);
    options.onPoint(axis, point);
  }
  return buildReport(points);
};

/** Runs all points in sequence, since concurrent points would compete for the processor. */
export async function runSlopesBench(
  options: SlopesOptions,
): Promise<Readonly<Partial<Record<SlopeAxis, SlopeReport>>>> {
  const reports: Partial<Record<SlopeAxis, SlopeReport>> = {};
  for (const axis of options.axes) reports[axis] = await runAxis(axis, options);
  return reports;
}
