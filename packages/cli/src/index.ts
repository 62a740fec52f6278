/** Public API of the cli package. */
export * from './io/commandIo.js'
export * from './process/startProcess.js'
export * from './check/checkCommand.js'
export * from './timeline/mergeTimelines.js'
export * from './timeline/sequenceDiagram.js'
export type * from './timeline/timelineTypes.js'
