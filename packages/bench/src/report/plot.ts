/** Draws line plots as SVG. */

/** One line of a plot. */
export interface PlotLine {
  readonly name: string
  /** Values at equal time steps; undefined leaves a gap in the line. */
  readonly values: ReadonlyArray<number | undefined>
}

/** One of several plots that share a time axis. */
export interface PlotPanel {
  readonly title: string
  readonly lines: readonly PlotLine[]
  /** Limit that is drawn as a dashed horizontal line. */
  readonly bound?: number
}

/** A shaded time span. */
export interface PlotShade {
  readonly name: string
  /** Seconds from the start of the time axis. */
  readonly from: number
  readonly to: number
}

const WIDTH = 900
const PANEL_HEIGHT = 180
const MARGIN = { left: 70, right: 160, top: 28, bottom: 20 } as const
const COLOURS = ['#1f6fb2', '#c2410c', '#15803d', '#7e22ce', '#a16207', '#0f766e'] as const

const escapeText = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;')

/** Maps values of one panel to coordinates of the image. */
class Scale {
  readonly top: number
  readonly bottom: number

  constructor (readonly index: number, readonly seconds: number, readonly maxValue: number) {
    this.top = index * PANEL_HEIGHT + MARGIN.top
    this.bottom = (index + 1) * PANEL_HEIGHT - MARGIN.bottom
  }

  x (second: number): number {
    return MARGIN.left + second / this.seconds * (WIDTH - MARGIN.left - MARGIN.right)
  }

  y (value: number): number {
    return this.bottom - value / this.maxValue * (this.bottom - this.top)
  }
}

const pathDataOf = ({ values }: PlotLine, scale: Scale): string => {
  const step = scale.seconds / Math.max(1, values.length)
  return values.map((value, index) => {
    if (value === undefined) return ''
    const command = index === 0 || values[index - 1] === undefined ? 'M' : 'L'
    return `${command}${scale.x((index + 0.5) * step).toFixed(1)} ${scale.y(value).toFixed(1)}`
  }).join('')
}

const drawLine = (line: PlotLine, index: number, scale: Scale): string => {
  const colour = COLOURS[index % COLOURS.length] ?? COLOURS[0]
  const y = scale.top + 14 * (index + 1)
  return `<path d="${pathDataOf(line, scale)}" fill="none" stroke="${colour}" stroke-width="1.5"/>` +
    `<text x="${WIDTH - MARGIN.right + 8}" y="${y}" fill="${colour}">${escapeText(line.name)}</text>`
}

const drawFrame = (title: string, scale: Scale): string => {
  const right = WIDTH - MARGIN.right
  return `<text x="${MARGIN.left}" y="${scale.top - 8}" font-weight="bold">${escapeText(title)}</text>` +
    `<path d="M${MARGIN.left} ${scale.top}V${scale.bottom}H${right}" fill="none" stroke="#444"/>` +
    `<text x="${MARGIN.left - 6}" y="${scale.top + 4}" text-anchor="end">${scale.maxValue.toPrecision(3)}</text>` +
    `<text x="${MARGIN.left - 6}" y="${scale.bottom}" text-anchor="end">0</text>` +
    `<text x="${right}" y="${scale.bottom + 14}" text-anchor="end">${scale.seconds.toFixed(0)} s</text>`
}

const drawShade = ({ name, from, to }: PlotShade, scale: Scale): string =>
  `<rect x="${scale.x(from)}" y="${scale.top}" width="${scale.x(to) - scale.x(from)}" height="${scale.bottom - scale.top}" fill="#f4d35e" opacity="0.3"/>` +
  `<text x="${scale.x(from) + 3}" y="${scale.top + 11}" fill="#7a5c00">${escapeText(name)}</text>`

const drawBound = (bound: number | undefined, scale: Scale): string => bound === undefined || bound > scale.maxValue
  ? ''
  : `<path d="M${MARGIN.left} ${scale.y(bound)}H${WIDTH - MARGIN.right}" stroke="#b91c1c" stroke-dasharray="5 4"/>`

const drawPanel = (panel: PlotPanel, index: number, seconds: number, shades: readonly PlotShade[]): string => {
  const values = panel.lines.flatMap(line => line.values.filter(value => value !== undefined))
  const scale = new Scale(index, seconds, Math.max(...values, 1e-9))
  const parts = [
    ...shades.map(shade => drawShade(shade, scale)),
    drawFrame(panel.title, scale),
    drawBound(panel.bound, scale),
    ...panel.lines.map((line, lineIndex) => drawLine(line, lineIndex, scale))
  ]
  return parts.join('\n')
}

/**
 * Draws panels below each other.
 *
 * @param panels - the panels
 * @param seconds - length of the time axis
 * @param shades - time spans that are shaded in every panel
 * @returns the SVG document
 */
export const drawPlot = (panels: readonly PlotPanel[], seconds: number, shades: readonly PlotShade[]): string => {
  const height = panels.length * PANEL_HEIGHT + MARGIN.bottom
  const body = panels.map((panel, index) => drawPanel(panel, index, seconds, shades)).join('\n')
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="11">\n` +
    `<rect width="100%" height="100%" fill="white"/>\n${body}\n</svg>\n`
}
