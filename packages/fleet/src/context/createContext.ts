/** Creates the context of a process from its settings. */
import { randomBytes } from 'node:crypto'
import { type Incarnation, newId, createMetrics, setLogLevel, systemClock, TimeLine } from '@fuchsiaworks/kernel'
import { loadStringHash } from '@fuchsiaworks/policy'
import type { ProcessSettings } from '@fuchsiaworks/settings'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { ProcessContext } from './processContext.js'

/** Number of values of a 32-bit integer. */
const UINT32_RANGE = 2 ** 32

/** @returns a generator of uniform numbers in [0, 1), seeded from the system's random source */
const createRandom = (): (() => number) => {
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE())
  return () => (generator.next() >>> 0) / UINT32_RANGE
}

/**
 * Creates the context of a process.
 *
 * @param settings - settings of this process
 * @returns the context, with a new incarnation
 */
export const createContext = async (settings: ProcessSettings): Promise<ProcessContext> => {
  setLogLevel(settings.logLevel)
  const identity = { host: settings.host, incarnation: newId<Incarnation>(), role: settings.role, zone: settings.zone }
  const timeLine = new TimeLine(systemClock, identity.host, identity.incarnation)
  const metrics = createMetrics(settings.metrics, { role: settings.role, zone: settings.zone })
  return {
    settings,
    clock: systemClock,
    startedAt: systemClock.now(),
    random: createRandom(),
    hash: await loadStringHash(),
    identity,
    timeLine,
    metrics,
    close: () => {
      timeLine.close()
      metrics.close()
    }
  }
}
