/** Measures the slopes of docs/CAPACITY.md: `npm run --silent build && node packages/bench/dist/capacity.js [PART]`. */
import { loadavg } from 'node:os'
import { configSlopes } from './capacity/configSlopes.js'
import { counterSlopes } from './capacity/counterSlopes.js'
import { messageSlopes } from './capacity/messageSlopes.js'
import { queueSlopes } from './capacity/queueSlopes.js'
import { fitLine, type Slope } from './capacity/slopes.js'

/** Significant digits of printed values. */
const DIGITS = 4

const show = (value: number): string => String(Number(value.toPrecision(DIGITS)))

const rowOf = ({ name, unit, against, points }: Slope): string => {
  const { base, slope, r2 } = fitLine(points)
  const measured = points.map(({ size, value }) => `${size}: ${show(value)}`).join(', ')
  return `| ${name} | ${against} | ${measured} | ${unit} | ${show(base)} | ${show(slope)} | ${r2.toFixed(3)} |`
}

const measureMessages = async (): Promise<readonly Slope[]> => {
  const { slopes, agentState } = await messageSlopes()
  console.log(`An agent-state message takes ${agentState} bytes.`)
  return slopes
}

const parts: Record<string, () => Promise<readonly Slope[]> | readonly Slope[]> = {
  messages: measureMessages, queue: queueSlopes, counters: counterSlopes, config: configSlopes
}

const [wanted = ''] = process.argv.slice(2)
const chosen = Object.keys(parts).filter(part => wanted === '' || part === wanted)

if (chosen.length === 0) {
  console.error(`Parts: ${Object.keys(parts).join(', ')}.`)
  process.exitCode = 1
}

for (const part of chosen) {
  const start = loadavg()
  const slopes = await parts[part]?.() ?? []
  console.log(`\n${part}; load of the machine ${start.map(show).join(', ')}; Node ${process.version}\n`)
  console.log('| what | against | measured | unit | base | slope | r2 |')
  console.log('|---|---|---|---|---:|---:|---:|')
  for (const slope of slopes) console.log(rowOf(slope))
}
