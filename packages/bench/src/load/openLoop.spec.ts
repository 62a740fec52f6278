import { describe, it } from 'node:test'
import { expect } from 'earl'
import { DEPLOYMENTS } from '../deployment/deployments.js'
import { joinPlans, planFlood, planLoad } from './benchPlan.js'
import { requestsPerSecondOf } from './capacity.js'
import type { PlannedRequest, RequestResult } from './loadTypes.js'
import { runOpenLoop } from './openLoop.js'

const prairie = DEPLOYMENTS['prairie'] as NonNullable<typeof DEPLOYMENTS['prairie']>

const planned = (at: number): PlannedRequest =>
  ({ nonce: `w.${at}`, workspace: 'w', service: 's', kind: 'get', router: 0, at, size: 1, filler: '' })

describe('the open loop', () => {
  it('sends without waiting for responses, and measures from the intended times', async () => {
    const intended: number[] = []
    let release = (): void => {}
    const allSent = new Promise<void>(resolve => { release = resolve })
    const results = await runOpenLoop([planned(0), planned(3), planned(8)], {
      send: async (request, intendedAt) => {
        intended.push(intendedAt)
        if (intended.length === 3) release()
        await allSent
        return { planned: request, intendedAt } as RequestResult
      }
    })
    expect(results.length).toEqual(3)
    expect(intended.map(at => Math.round(at - (intended[0] ?? 0)))).toEqual([0, 3, 8])
  })
})

describe('the plan of the load', () => {
  const options = { load: 0.5, span: { from: 0, to: 60_000 }, seed: 3 }

  it('is equal for equal seeds, ordered by time, and free of repeated nonces', () => {
    const plan = planLoad(prairie, options)
    expect(planLoad(prairie, options)).toEqual(plan)
    expect(plan.every(({ at }, index) => at >= (plan[index - 1]?.at ?? 0))).toEqual(true)
    const joined = joinPlans([plan, planFlood(prairie, { from: 0, to: 1000 }, 3), planFlood(prairie, { from: 5000, to: 6000 }, 3)])
    expect(new Set(joined.map(({ nonce }) => nonce)).size).toEqual(joined.length)
  })

  it('offers the configured share of the capacity of each service', () => {
    const plan = planLoad(prairie, options)
    for (const service of prairie.services) {
      const rate = plan.filter(item => item.service === service.id).length / 60
      expect(Math.abs(rate / requestsPerSecondOf(service) - options.load) < 0.05).toEqual(true)
    }
  })

  it('sends the requests of a workspace only to its own routers and services', () => {
    for (const { workspace, router, service } of planLoad(prairie, options)) {
      const shape = prairie.workspaces.find(({ id }) => id === workspace)
      expect([shape?.routers.includes(router), service in (shape?.services ?? {})]).toEqual([true, true])
    }
  })
})
