import { parse, View } from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';
import type { BenchReport } from '../../types';

/** Lists one row for each policy, phase and plotted measure. */
function listRows({ policies }: BenchReport): readonly object[] {
  return Object.entries(policies).flatMap(([policy, phases]) =>
    phases.flatMap(({ phase, lookup, long, goodputTokensPerSecond }) => [
      { policy, phase, measure: 'lookup first token p99, ms', value: lookup.firstTokenP99Ms },
      { policy, phase, measure: 'long first token p99, ms', value: long.firstTokenP99Ms },
      { policy, phase, measure: 'long goodput, tokens/s', value: goodputTokensPerSecond },
    ]),
  );
}

/** Renders the figures as grouped bars, one chart for each measure, to SVG. */
export async function renderPlot(report: BenchReport): Promise<string> {
  const spec: TopLevelSpec = {
    title: `Load bench, ${report.deployment}, seed ${report.seed}`,
    data: { values: [...listRows(report)] },
    mark: 'bar',
    encoding: {
      row: { field: 'measure', type: 'nominal', title: null },
      x: { field: 'phase', type: 'nominal', sort: null, title: null },
      xOffset: { field: 'policy' },
      y: { field: 'value', type: 'quantitative', title: null },
      color: { field: 'policy', type: 'nominal', sort: null },
    },
    resolve: { scale: { y: 'independent' } },
    width: 640,
    height: 160,
  };
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  return view.toSVG();
}
