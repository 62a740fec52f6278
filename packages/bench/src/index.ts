/** Public entry of the bench package: what other test programs need to start processes. */
export { Child } from './processes/child.js'
export { findPorts } from './processes/ports.js'
export { drawInterval, pickWeighted, type Random, seededRandom } from './load/random.js'
