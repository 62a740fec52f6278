/** How long a workspace's requests may wait, by service and time of day. */
import type { Millis, ServiceId } from '@fuchsiaworks/kernel'
import type { WorkspaceConfig } from './fleetConfigTypes.js'

/** Milliseconds in a minute. */
const MINUTE_MS = 60_000

/** Minutes in an hour. */
const HOUR_MINUTES = 60

/** Minutes in a day. */
const DAY_MINUTES = 1440

const minuteOfDay = (time: string): number => {
  const [hours, minutes] = time.split(':')
  return Number(hours) * HOUR_MINUTES + Number(minutes)
}

const localMinute = (wall: Millis, utcOffsetMinutes: number): number => {
  const minute = (Math.floor(wall / MINUTE_MS) + utcOffsetMinutes) % DAY_MINUTES
  return (minute + DAY_MINUTES) % DAY_MINUTES
}

/**
 * Finds the longest wait that a workspace tolerates.
 *
 * @param workspace - its configuration
 * @param service - the service that is asked for
 * @param wall - wall-clock time in milliseconds since the Unix epoch
 * @param utcOffsetMinutes - local time of the site minus UTC
 * @returns the wait in milliseconds
 */
export const patienceAt = (workspace: WorkspaceConfig, service: ServiceId, wall: Millis, utcOffsetMinutes: number): Millis => {
  const { byService, daily, defaultMs } = workspace.patience
  if (byService !== undefined && Object.hasOwn(byService, service)) return byService[service] ?? defaultMs
  const now = localMinute(wall, utcOffsetMinutes)
  const entries = daily
    .map(({ from, ms }) => ({ from: minuteOfDay(from), ms }))
    .sort((a, b) => a.from - b.from)
  const current = entries.findLast(entry => entry.from <= now) ?? entries.at(-1)
  return current?.ms ?? defaultMs
}
