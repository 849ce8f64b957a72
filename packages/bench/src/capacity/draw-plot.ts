import { writeFileSync } from 'node:fs';
import * as vega from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';
import { valueAt } from '../linear-fit.js';
import type { FittedSlope } from './slope.js';

const WIDTH = 320;
const HEIGHT = 200;

/** Draws the measured points of a slope and its line up to the target size as an SVG file. */
export async function drawPlot(slope: FittedSlope, directory: URL): Promise<void> {
  const line = [0, slope.targetX].map((x) => ({ x, y: valueAt(slope.fit, x) }));
  const axis = { x: slope.xLabel, y: slope.yLabel };
  const spec: TopLevelSpec = {
    width: WIDTH,
    height: HEIGHT,
    title: slope.name,
    layer: [
      {
        data: { values: [...slope.points] },
        mark: { type: 'point', filled: true },
        encoding: {
          x: { field: 'x', type: 'quantitative', title: axis.x },
          y: { field: 'y', type: 'quantitative', title: axis.y },
        },
      },
      {
        data: { values: line },
        mark: { type: 'line', strokeDash: [4, 4] },
        encoding: {
          x: { field: 'x', type: 'quantitative' },
          y: { field: 'y', type: 'quantitative' },
        },
      },
    ],
  };
  const view = new vega.View(vega.parse(compile(spec).spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  writeFileSync(new URL(`${slope.name}.svg`, directory), `${svg}\n`);
}
