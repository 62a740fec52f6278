/** Patience: the maximum time that a workspace's requests may wait for a slot, by service and time of day. */
import type { Millis, ServiceId } from '@fuchsiaworks/kernel'
import type { WorkspaceConfig } from './fleetConfigTypes.js'

const MS_PER_MINUTE = 60_000
const MINUTES_PER_HOUR = 60
const MINUTES_PER_DAY = 1440

const minuteOfDay = (time: string): number => {
  const [hours, minutes] = time.split(':')
  return Number(hours) * MINUTES_PER_HOUR + Number(minutes)
}

const localMinuteOfDay = (wallMs: Millis, utcOffsetMinutes: number): number => {
  const minute = (Math.floor(wallMs / MS_PER_MINUTE) + utcOffsetMinutes) % MINUTES_PER_DAY
  return (minute + MINUTES_PER_DAY) % MINUTES_PER_DAY
}

/**
 * Returns the maximum wait of a workspace's requests to a service at the given time. An entry of `byService` takes
 * precedence over `daily`, and `daily` over `defaultMs`.
 *
 * @param workspace - configuration of the workspace
 * @param service - the requested service
 * @param wallMs - wall-clock time in milliseconds since the Unix epoch
 * @param utcOffsetMinutes - local time of the site minus UTC
 */
export const patienceAt = (workspace: WorkspaceConfig, service: ServiceId, wallMs: Millis, utcOffsetMinutes: number): Millis => {
  const { byService, daily, defaultMs } = workspace.patience
  if (byService !== undefined && Object.hasOwn(byService, service)) return byService[service] ?? defaultMs
  const currentMinute = localMinuteOfDay(wallMs, utcOffsetMinutes)
  const entries = daily
    .map(({ from, ms }) => ({ from: minuteOfDay(from), ms }))
    .sort((a, b) => a.from - b.from)
  const current = entries.findLast(entry => entry.from <= currentMinute) ?? entries.at(-1)
  return current?.ms ?? defaultMs
}
