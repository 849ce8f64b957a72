import { writeFileSync } from 'node:fs';
import * as vega from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';
import type { Comparison, WayPlayed } from './comparison.js';
import { rowsOf } from './format-comparison.js';

const WIDTH = 640;
const HEIGHT = 240;
/** As the windows of the outcome. */
const WINDOW_SECONDS = 2;

/** Writes an HTML page: the table, and the credit of each way over time. */
export async function writePage(
  path: string,
  title: string,
  comparison: Comparison,
): Promise<void> {
  const plot = await drawWindows(comparison.ways);
  const table = rowsOf(comparison).map(
    (row) => `<tr>${row.map((cell) => `<td>${escaped(cell)}</td>`).join('')}</tr>`,
  );
  const page = [
    '<!doctype html>',
    `<meta charset="utf-8"><title>${escaped(title)}</title>`,
    '<style>body{font-family:sans-serif}td{padding:2px 8px;border-bottom:1px solid #ccc}</style>',
    `<h1>${escaped(title)}</h1>`,
    `<table>${table.join('')}</table>`,
    plot,
  ];
  writeFileSync(path, `${page.join('\n')}\n`);
}

/** Mean credit of each window over the seeds, one line a way, as SVG. */
async function drawWindows(ways: readonly WayPlayed[]): Promise<string> {
  const values = ways.flatMap(({ without, plays }) =>
    plays.flatMap(({ windows }) =>
      windows.map((credit, index) => ({
        way: without === undefined ? 'whole' : `without ${without}`,
        second: index * WINDOW_SECONDS,
        credit,
      })),
    ),
  );
  const spec: TopLevelSpec = {
    width: WIDTH,
    height: HEIGHT,
    title: 'credit earned by the time of asking',
    data: { values },
    mark: { type: 'line', point: true },
    encoding: {
      x: { field: 'second', type: 'quantitative', title: 'seconds' },
      y: { field: 'credit', type: 'quantitative', aggregate: 'mean', title: 'share of credit' },
      color: { field: 'way', type: 'nominal' },
    },
  };
  const view = new vega.View(vega.parse(compile(spec).spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

function escaped(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}
