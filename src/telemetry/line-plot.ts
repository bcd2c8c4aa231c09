/** Line plots as inline SVG. */
import {escapeHtml} from './escape-html.js';

const WIDTH_PX = 520;
const HEIGHT_PX = 150;
const LEFT_PX = 52;
const RIGHT_PX = 10;
const TOP_PX = 10;
const BOTTOM_PX = 22;
/** Room above the highest value. */
const HEADROOM = 1.1;

/** One line; null leaves a gap. */
export interface PlotLine {
  readonly label: string;
  /** CSS class that sets the colour. */
  readonly style: string;
  readonly values: readonly (number | null)[];
}

/** What a plot shows. */
export interface LinePlot {
  readonly title: string;
  readonly lines: readonly PlotLine[];
  /** A value that is drawn as a dashed line. */
  readonly limit: number;
  readonly limitLabel: string;
  /** Written at the ends of the time axis. */
  readonly from: string;
  readonly to: string;
}

/**
 * Draws a plot.
 *
 * @example
 * const svg = drawLinePlot({title: 'burn', lines, limit: 1,
 *   limitLabel: 'allowed', from: '09:00', to: '10:00'});
 */
export function drawLinePlot(plot: LinePlot): string {
  const {title, lines, limit, limitLabel, from, to} = plot;
  const values = lines.flatMap(line => line.values.filter(v => v !== null));
  const top = Math.max(limit, ...values) * HEADROOM;
  const bottomY = HEIGHT_PX - BOTTOM_PX;
  const limitY = yOf(limit, top);
  return [
    `<svg viewBox="0 0 ${WIDTH_PX} ${HEIGHT_PX}" role="img" aria-label="${escapeHtml(title)}">`,
    `<path class="axis" d="M${LEFT_PX} ${TOP_PX}V${bottomY}H${WIDTH_PX - RIGHT_PX}"/>`,
    label(LEFT_PX - 4, TOP_PX + 8, 'end', top.toPrecision(3)),
    label(LEFT_PX - 4, bottomY, 'end', '0'),
    label(LEFT_PX, HEIGHT_PX - 6, 'start', from),
    label(WIDTH_PX - RIGHT_PX, HEIGHT_PX - 6, 'end', to),
    `<path class="limit" d="M${LEFT_PX} ${limitY}H${WIDTH_PX - RIGHT_PX}"/>`,
    label(WIDTH_PX - RIGHT_PX, Number(limitY) - 3, 'end', limitLabel),
    ...lines.map(line => drawLine(line, top)),
    '</svg>',
  ].join('\n');
}

function drawLine({label, style, values}: PlotLine, top: number): string {
  const paths: string[] = [];
  values.forEach((value, i) => {
    if (value === null) return;
    const isStart = (values[i - 1] ?? null) === null;
    const point = `${xOf(i, values.length)} ${yOf(value, top)}`;
    // A zero-length step gives a point between gaps its round cap.
    paths.push(isStart ? `M${point}h0` : `L${point}`);
  });
  const title = `<title>${escapeHtml(label)}</title>`;
  return `<path class="${escapeHtml(style)}" d="${paths.join('')}">${title}</path>`;
}

function label(x: number, y: number, anchor: string, text: string): string {
  return `<text x="${x}" y="${y}" text-anchor="${anchor}">${escapeHtml(text)}</text>`;
}

function xOf(index: number, count: number): string {
  const width = WIDTH_PX - LEFT_PX - RIGHT_PX;
  return (LEFT_PX + (width * index) / Math.max(1, count - 1)).toFixed(1);
}

function yOf(value: number, top: number): string {
  const height = HEIGHT_PX - TOP_PX - BOTTOM_PX;
  return (TOP_PX + height * (1 - value / top)).toFixed(1);
}
