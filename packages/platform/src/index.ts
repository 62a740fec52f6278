/** Public API of the platform package. */
export * from './configurationWatch/configurationWatch.js'
export type { HostEntry, HostList } from './hostListWatch/hostListTypes.js'
export * from './hostListWatch/hostListWatch.js'
export * from './longPoll/longPollErrors.js'
export type { ReadOutcome, WatchOptions, WatchStatus } from './longPoll/longPollTypes.js'
