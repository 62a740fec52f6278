/** Measures CPU time and heap size, and fits straight lines to the results. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Minimum CPU time of one measurement. */
const MEASUREMENT_US = 150_000

/** Minimum CPU time of the runs before a measurement, which let the JIT compile the code. */
const WARM_UP_US = 100_000

/** Minimum number of runs of a measurement. */
const MIN_RUNS = 3

const BYTES_PER_KIB = 1024

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Measured value at one size. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** Straight line fitted to measured points. */
export interface LineFit {
  readonly intercept: number
  readonly slope: number
  /** Coefficient of determination: the share of the variance that the line explains. */
  readonly r2: number
}

/** Measured points of one row of the report. */
export interface Slope {
  readonly name: string
  readonly unit: string
  readonly against: string
  readonly points: readonly Point[]
}

const cpuMicrosSince = (since: NodeJS.CpuUsage): number => {
  const { user, system } = process.cpuUsage(since)
  return user + system
}

const measureRuns = (minCpuMicros: number, work: () => void): number => {
  const start = process.cpuUsage()
  let runs = 0
  while (runs < MIN_RUNS || cpuMicrosSince(start) < minCpuMicros) {
    work()
    runs += 1
  }
  return cpuMicrosSince(start) / runs
}

/**
 * Measures the CPU time of a function.
 *
 * @param work - called repeatedly; must leave the size of its state unchanged
 * @returns microseconds per call
 */
export const measureCpuMicros = (work: () => void): number => {
  measureRuns(WARM_UP_US, work)
  return measureRuns(MEASUREMENT_US, work)
}

/**
 * Measures the heap memory that a value retains.
 *
 * @param make - creates the value
 * @returns size in KiB
 */
export const measureHeapKib = (make: () => object): number => {
  make()
  collectGarbage()
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const value = make()
  collectGarbage()
  collectGarbage()
  const after = process.memoryUsage().heapUsed
  // Uses the value after the second reading, so that the garbage collector cannot free it earlier.
  return Object.keys(value).length < 0 ? 0 : (after - before) / BYTES_PER_KIB
}

/**
 * Fits a line by least squares.
 *
 * @param points - measured values
 * @returns the line
 */
export const fitLine = (points: readonly Point[]): LineFit => {
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / points.length
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / points.length
  const sizeSquares = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0)
  const valueSquares = points.reduce((sum, { value }) => sum + (value - meanValue) ** 2, 0)
  const products = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0)
  const slope = products / sizeSquares
  return { intercept: meanValue - slope * meanSize, slope, r2: valueSquares === 0 ? 1 : products ** 2 / (sizeSquares * valueSquares) }
}

/**
 * Measures one value at several sizes. The first measurement is discarded, since the code is compiled during it.
 *
 * @param heading - name and unit of the value, and what the size counts
 * @param sizes - at least three sizes
 * @param measure - measures the value at one size
 * @returns the measured points
 */
export const measureSlope = (heading: Omit<Slope, 'points'>, sizes: readonly number[], measure: (size: number) => number): Slope => {
  measure(Math.max(...sizes))
  return { ...heading, points: sizes.map(size => ({ size, value: measure(size) })) }
}
