/**
 * Measures the slopes of docs/CAPACITY.md, which say how cost grows with size:
 * `npm run --silent build && node packages/bench/dist/capacity.js [PART]`.
 */
import { loadavg } from 'node:os'
import { measureConfigSlopes } from './capacity/configSlopes.js'
import { measureCounterSlopes } from './capacity/counterSlopes.js'
import { measureMessageSlopes } from './capacity/messageSlopes.js'
import { measureQueueSlopes } from './capacity/queueSlopes.js'
import { fitLine, type Slope } from './capacity/slopes.js'

const SIGNIFICANT_DIGITS = 4

const formatValue = (value: number): string => String(Number(value.toPrecision(SIGNIFICANT_DIGITS)))

const formatRow = ({ name, unit, against, points }: Slope): string => {
  const { intercept: base, slope, r2 } = fitLine(points)
  const measured = points.map(({ size, value }) => `${size}: ${formatValue(value)}`).join(', ')
  return `| ${name} | ${against} | ${measured} | ${unit} | ${formatValue(base)} | ${formatValue(slope)} | ${r2.toFixed(3)} |`
}

const measureMessages = async (): Promise<readonly Slope[]> => {
  const { slopes, agentStateBytes: agentState } = await measureMessageSlopes()
  console.log(`Size of an agent-state message: ${agentState} bytes.`)
  return slopes
}

const parts: Record<string, () => Promise<readonly Slope[]> | readonly Slope[]> = {
  messages: measureMessages, queue: measureQueueSlopes, counters: measureCounterSlopes, config: measureConfigSlopes
}

const [requestedPart = ''] = process.argv.slice(2)
const selectedParts = Object.keys(parts).filter(part => requestedPart === '' || part === requestedPart)

if (selectedParts.length === 0) {
  console.error(`unknown part; known parts: ${Object.keys(parts).join(', ')}`)
  process.exitCode = 1
}

for (const part of selectedParts) {
  const start = loadavg()
  const slopes = await parts[part]?.() ?? []
  console.log(`\n${part}; load average ${start.map(formatValue).join(', ')}; Node ${process.version}\n`)
  console.log('| what | against | measured | unit | base | slope | r2 |')
  console.log('|---|---|---|---|---:|---:|---:|')
  for (const slope of slopes) console.log(formatRow(slope))
}
