/** Public entry of the agent package. */
export * from './process/startAgent.js'
