/** Public API of the bench package: child processes, ports and seeded random numbers for other test programs. */
export { Child } from './processes/child.js'
export { findPorts } from './processes/ports.js'
export { drawInterval, pickWeighted, type Random, seededRandom } from './load/random.js'
export { readProcess } from './measures/processUsage.js'
