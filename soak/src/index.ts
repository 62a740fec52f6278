/** Public entry of the soak. */
export { runSoak, type SoakOptions, type SoakResult } from './soak.js'
