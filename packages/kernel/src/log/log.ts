/** Logging through roarr: a message prefixed with the component, and ids as structured context. */
import { Roarr } from 'roarr'

/** Log levels in ascending order of severity. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const

export type LogLevel = typeof LOG_LEVELS[number]

/** Structured fields of a log line. */
export type LogContext = Readonly<Record<string, string | number | boolean>>

/** Logger of one component. */
export type Log = Readonly<Record<LogLevel, (message: string, context?: LogContext) => void>>

let minLevel: LogLevel = 'info'

/**
 * Sets the minimum level of all loggers of the process.
 *
 * @param level - lines of a lower level are dropped
 */
export const setLogLevel = (level: LogLevel): void => {
  minLevel = level
}

/** @returns the minimum level of lines that are written */
export const logLevel = (): LogLevel => minLevel

/**
 * Creates the logger of a component.
 *
 * @param prefix - name of the component, for example `router`
 * @returns one function per level
 */
export const createLog = (prefix: string): Log => {
  const writer = Roarr.child({ package: prefix })
  const writeAt = (level: LogLevel) => (message: string, context: LogContext = {}): void => {
    if (LOG_LEVELS.indexOf(level) < LOG_LEVELS.indexOf(minLevel)) return
    writer[level]({ ...context }, '%s', `${prefix}: ${message}`)
  }
  return { debug: writeAt('debug'), info: writeAt('info'), warn: writeAt('warn'), error: writeAt('error') }
}
