import { describe, it } from 'node:test'
import { expect } from 'earl'
import { systemClock } from '../clock/clock.js'
import { EventLoopMonitor } from './eventLoopMonitor.js'

const pause = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

const block = (ms: number): void => {
  const until = performance.now() + ms
  while (performance.now() < until);
}

describe('an event loop monitor', () => {
  it('reports a blocked loop as busy and late, and an idle one as neither', async () => {
    const monitor = new EventLoopMonitor(systemClock)
    await pause(150)
    monitor.takeSample()
    block(300)
    await pause(0)
    const busy = monitor.takeSample()
    expect(busy.utilization).toBeGreaterThan(0.8)
    expect(busy.maxDelayMs).toBeGreaterThan(150)
    await pause(400)
    const idle = monitor.takeSample()
    expect(idle.utilization).toBeLessThan(0.5)
    expect(idle.maxDelayMs).toBeLessThan(busy.maxDelayMs)
    monitor.close()
  })
})
