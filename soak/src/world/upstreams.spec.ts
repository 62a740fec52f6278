import { describe, it } from 'node:test'
import { systemClock } from '@fuchsiaworks/kernel'
import { StoreStandin } from '@fuchsiaworks/platform-adapter/standins'
import { expect } from 'earl'
import { emptyObservations } from '../invariants/observationTypes.js'
import { Upstreams } from './upstreams.js'

const LONG_COLD_MS = 60_000

describe('an upstream of the soak that turns cold', () => {
  it('does not announce the end of a longer cold start that goes on', async () => {
    const store = new StoreStandin()
    const upstreams = new Upstreams(systemClock, store, emptyObservations())
    const [replica] = upstreams.replicas
    if (replica === undefined) throw new RangeError('no replica')
    const announcedMs = (): number => Math.max(...[...store.copy().items.values()].map(({ value }) => JSON.parse(Buffer.from(value ?? '', 'base64').toString()).cold_remaining_ms))
    await upstreams.startInstance(replica, LONG_COLD_MS)
    upstreams.enterColdStart(replica, 400)
    expect(announcedMs()).toBeGreaterThan(LONG_COLD_MS - 5000)
    upstreams.enterColdStart(replica, 2 * LONG_COLD_MS)
    expect(announcedMs()).toBeGreaterThan(LONG_COLD_MS)
    await upstreams.close()
    store.close()
  })
})
