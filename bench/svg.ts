/** Bar charts as SVG, for reports. */

/** One bar of a group. */
export interface Bar {
  readonly name: string;
  readonly value: number;
}

/** Bars that stand together. */
export interface BarGroup {
  readonly name: string;
  readonly bars: readonly Bar[];
}

const WIDTH = 960;
const HEIGHT = 320;
const MARGIN = { top: 36, right: 16, bottom: 64, left: 48 };
const colours = ["#1b6ca8", "#d1603d", "#6a994e", "#8d6a9f", "#c9a227"];
const GRID_LINES = 4;

function escapeText(text: string): string {
  return text.replace(/&/g, "&amp;").replace(/</g, "&lt;");
}

interface Frame {
  readonly highest: number;
  readonly plotHeight: number;
}

function heightOf(frame: Frame, value: number): number {
  return Math.min(value, frame.highest) / frame.highest * frame.plotHeight;
}

function gridLine(frame: Frame, step: number): string {
  const value = frame.highest * step / GRID_LINES;
  const y = MARGIN.top + frame.plotHeight - heightOf(frame, value);
  const label = Math.round(value * 100) / 100;
  return `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${y}" ` +
    `y2="${y}" stroke="#ddd"/><text x="${MARGIN.left - 6}" y="${y + 4}" ` +
    `text-anchor="end">${label}</text>`;
}

function drawBar(
  frame: Frame,
  { name, value }: Bar,
  { x, width, colour }: { x: number; width: number; colour: string },
): string {
  const height = heightOf(frame, value);
  const y = MARGIN.top + frame.plotHeight - height;
  const cut = value > frame.highest
    ? `<text x="${x + width / 2}" y="${y - 3}" text-anchor="middle">${
      Math.round(value)
    }</text>`
    : "";
  return `<rect x="${x}" y="${y}" width="${width}" height="${height}" ` +
    `fill="${colour}"><title>${escapeText(name)} ${value}</title></rect>${cut}`;
}

function legend(names: readonly string[]): string {
  return names.map((name, index) => {
    const x = MARGIN.left + index * 120;
    const colour = colours[index % colours.length];
    return `<rect x="${x}" y="${HEIGHT - 22}" width="10" height="10" ` +
      `fill="${colour}"/><text x="${x + 14}" y="${HEIGHT - 13}">${
        escapeText(name)
      }</text>`;
  }).join("");
}

/** A chart with a group of bars for each name; higher bars are cut. */
export function barChart(
  title: string,
  groups: readonly BarGroup[],
  { highest }: { highest: number },
): string {
  const names = [
    ...new Set(groups.flatMap(({ bars }) => bars.map((bar) => bar.name))),
  ];
  const frame: Frame = {
    highest,
    plotHeight: HEIGHT - MARGIN.top - MARGIN.bottom,
  };
  const groupWidth = (WIDTH - MARGIN.left - MARGIN.right) / groups.length;
  const barWidth = groupWidth * 0.8 / Math.max(1, names.length);
  const parts: string[] = [];
  for (let step = 0; step <= GRID_LINES; step += 1) {
    parts.push(gridLine(frame, step));
  }
  groups.forEach((group, index) => {
    const left = MARGIN.left + index * groupWidth;
    for (const bar of group.bars) {
      const place = names.indexOf(bar.name);
      const x = left + groupWidth * 0.1 + place * barWidth;
      const colour = colours[place % colours.length] ?? "#000";
      parts.push(drawBar(frame, bar, { x, width: barWidth - 2, colour }));
    }
    const middle = left + groupWidth / 2;
    parts.push(
      `<text x="${middle}" y="${HEIGHT - MARGIN.bottom + 18}" ` +
        `text-anchor="middle">${escapeText(group.name)}</text>`,
    );
  });
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${HEIGHT}" font-family="sans-serif" font-size="12">` +
    `<rect width="100%" height="100%" fill="#fff"/>` +
    `<text x="${MARGIN.left}" y="20" font-size="15">${
      escapeText(title)
    }</text>${parts.join("")}${legend(names)}</svg>\n`;
}
