/** Line plots as inline SVG. */
import {escapeHtml} from './escape-html.js';

const WIDTH_PX = 520;
const HEIGHT_PX = 150;
const MARGIN_LEFT_PX = 52;
const MARGIN_RIGHT_PX = 10;
const MARGIN_TOP_PX = 10;
const MARGIN_BOTTOM_PX = 22;
/** Upper end of the y axis, as a multiple of the highest value. */
const HEADROOM_FACTOR = 1.1;

/** A line of a plot; a null value leaves a gap. */
export interface PlotLine {
  readonly label: string;
  /** CSS class of the line's path. */
  readonly style: string;
  readonly values: readonly (number | null)[];
}

/** Contents of a plot. */
export interface LinePlot {
  readonly title: string;
  readonly lines: readonly PlotLine[];
  /** Threshold, drawn as a horizontal line. */
  readonly limit: number;
  readonly limitLabel: string;
  /** Labels at the two ends of the time axis. */
  readonly from: string;
  readonly to: string;
}

/**
 * Renders a plot as an SVG element.
 *
 * @example
 * const svg = drawLinePlot({title: 'burn', lines, limit: 1,
 *   limitLabel: 'allowed', from: '09:00', to: '10:00'});
 */
export function drawLinePlot(plot: LinePlot): string {
  const {title, lines, limit, limitLabel, from, to} = plot;
  const values = lines.flatMap(line => line.values.filter(v => v !== null));
  const top = Math.max(limit, ...values) * HEADROOM_FACTOR;
  const bottomY = HEIGHT_PX - MARGIN_BOTTOM_PX;
  const limitY = toY(limit, top);
  return [
    `<svg viewBox="0 0 ${WIDTH_PX} ${HEIGHT_PX}" role="img" aria-label="${escapeHtml(title)}">`,
    `<path class="axis" d="M${MARGIN_LEFT_PX} ${MARGIN_TOP_PX}V${bottomY}H${WIDTH_PX - MARGIN_RIGHT_PX}"/>`,
    label(MARGIN_LEFT_PX - 4, MARGIN_TOP_PX + 8, 'end', top.toPrecision(3)),
    label(MARGIN_LEFT_PX - 4, bottomY, 'end', '0'),
    label(MARGIN_LEFT_PX, HEIGHT_PX - 6, 'start', from),
    label(WIDTH_PX - MARGIN_RIGHT_PX, HEIGHT_PX - 6, 'end', to),
    `<path class="limit" d="M${MARGIN_LEFT_PX} ${limitY}H${WIDTH_PX - MARGIN_RIGHT_PX}"/>`,
    label(WIDTH_PX - MARGIN_RIGHT_PX, Number(limitY) - 3, 'end', limitLabel),
    ...lines.map(line => drawLine(line, top)),
    '</svg>',
  ].join('\n');
}

function drawLine({label, style, values}: PlotLine, top: number): string {
  const paths: string[] = [];
  values.forEach((value, i) => {
    if (value === null) return;
    const isSegmentStart = (values[i - 1] ?? null) === null;
    const point = `${toX(i, values.length)} ${toY(value, top)}`;
    // The zero-length segment makes an isolated point visible by its round cap.
    paths.push(isSegmentStart ? `M${point}h0` : `L${point}`);
  });
  const title = `<title>${escapeHtml(label)}</title>`;
  return `<path class="${escapeHtml(style)}" d="${paths.join('')}">${title}</path>`;
}

function label(x: number, y: number, anchor: string, text: string): string {
  return `<text x="${x}" y="${y}" text-anchor="${anchor}">${escapeHtml(text)}</text>`;
}

function toX(index: number, count: number): string {
  const width = WIDTH_PX - MARGIN_LEFT_PX - MARGIN_RIGHT_PX;
  return (MARGIN_LEFT_PX + (width * index) / Math.max(1, count - 1)).toFixed(1);
}

function toY(value: number, top: number): string {
  const height = HEIGHT_PX - MARGIN_TOP_PX - MARGIN_BOTTOM_PX;
  return (MARGIN_TOP_PX + height * (1 - value / top)).toFixed(1);
}
