/** Processor time, memory and straight fits for the capacity page. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Processor time of one measurement, in microseconds. */
const MEASUREMENT_US = 150_000

/** Processor time before a measurement, so that the code is compiled, in microseconds. */
const WARM_UP_US = 100_000

/** Runs that a measurement has at least. */
const MIN_RUNS = 3

/** Bytes of a KiB. */
const BYTES_PER_KIB = 1024

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** One measured size. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** Straight line through measured points. */
export interface LineFit {
  readonly intercept: number
  readonly slope: number
  /** Share of the variance that the line explains. */
  readonly r2: number
}

/** One line of the report. */
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
 * Measures the processor time of some work.
 *
 * @param work - done again and again; it leaves the state as large as it found it
 * @returns microseconds a run
 */
export const measureCpuMicros = (work: () => void): number => {
  measureRuns(WARM_UP_US, work)
  return measureRuns(MEASUREMENT_US, work)
}

/**
 * Measures the heap that a value keeps.
 *
 * @param make - makes the value
 * @returns KiB
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
  // The value is used after the second reading, so that it is not collected before.
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
  const sizeVariance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0)
  const values = points.reduce((sum, { value }) => sum + (value - meanValue) ** 2, 0)
  const covariance = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0)
  const slope = covariance / sizeVariance
  return { intercept: meanValue - slope * meanSize, slope, r2: values === 0 ? 1 : covariance ** 2 / (sizeVariance * values) }
}

/**
 * Measures one value at several sizes, after one measurement that does not count, since the first run compiles the code.
 *
 * @param heading - what is measured, in which unit, against what
 * @param sizes - at least three
 * @param measure - measures one size
 * @returns the points
 */
export const measureSlope = (heading: Omit<Slope, 'points'>, sizes: readonly number[], measure: (size: number) => number): Slope => {
  measure(Math.max(...sizes))
  return { ...heading, points: sizes.map(size => ({ size, value: measure(size) })) }
}
