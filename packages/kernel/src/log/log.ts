/** Logs by roarr: short sentences with a fixed prefix for each part and ids as context. */
import { Roarr } from 'roarr'

/** Levels in rising order of weight. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const

/** Weight of a log line. */
export type LogLevel = typeof LOG_LEVELS[number]

/** Values that go with a sentence. */
export type LogContext = Readonly<Record<string, string | number | boolean>>

/** Writes the lines of one part of the system. */
export type Log = Readonly<Record<LogLevel, (sentence: string, context?: LogContext) => void>>

let minLevel: LogLevel = 'info'

/**
 * Sets the lowest level that is written.
 *
 * @param level - lines below it are dropped
 */
export const setLogLevel = (level: LogLevel): void => {
  minLevel = level
}

/** @returns the lowest level that is written */
export const logLevel = (): LogLevel => minLevel

/**
 * Makes the log of one part.
 *
 * @param prefix - fixed name of the part, as `router`
 * @returns one function for each level
 */
export const createLog = (prefix: string): Log => {
  const writer = Roarr.child({ package: prefix })
  const writeAt = (level: LogLevel) => (sentence: string, context: LogContext = {}): void => {
    if (LOG_LEVELS.indexOf(level) < LOG_LEVELS.indexOf(minLevel)) return
    writer[level]({ ...context }, '%s', `${prefix}: ${sentence}`)
  }
  return { debug: writeAt('debug'), info: writeAt('info'), warn: writeAt('warn'), error: writeAt('error') }
}
