/** Public API of the bench package: child processes and seeded random numbers for other test programs. */
export { Child } from './processes/child.js'
export { drawInterval, pickWeighted, type Random, seededRandom } from './load/random.js'
export { readProcess } from './measures/processUsage.js'
