/** A clock that also counts the time for which the host was suspended, which the monotonic clock leaves out. */
import { uptime } from 'node:os'
import type { Millis } from './clock.js'

/** Milliseconds in a second. */
const SECOND_MS = 1000

/** @returns milliseconds since the host started, suspended time included; steps of the time of day do not show */
export const bootTime = (): Millis => uptime() * SECOND_MS
