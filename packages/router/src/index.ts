/** Public API of the router package. */
export * from './process/startRouter.js'
