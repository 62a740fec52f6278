import { describe, it } from 'node:test'
import { asId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { configSchema } from './configSchema.js'
import type { WorkspaceConfig } from './fleetConfigTypes.js'
import { patienceAt } from './patience.js'

const HOUR_MS = 3_600_000

const workspaceWith = (patience: unknown): WorkspaceConfig => {
  const config = configSchema.parse({ workspaces: { w: { patience } } })
  return config.workspaces[asId<WorkspaceId>('w')] as WorkspaceConfig
}

const workspace = workspaceWith({ daily: [{ from: '05:00', ms: 2000 }, { from: '22:00', ms: 90_000 }], byService: { book: 500 } })

describe('patienceAt', () => {
  it('selects the daily entry by the local time of the site and wraps at midnight', () => {
    const patienceAtHour = (utcHour: number) => patienceAt(workspace, asId('writer'), utcHour * HOUR_MS, -360)
    expect([10, 11, 27, 28].map(patienceAtHour)).toEqual([90_000, 2000, 2000, 90_000])
  })

  it('uses the entry of the service if there is one, and the default without daily entries', () => {
    expect(patienceAt(workspace, asId('book'), 0, 0)).toEqual(500)
    expect(patienceAt(workspaceWith({ defaultMs: 7 }), asId('book'), 0, 0)).toEqual(7)
  })

  it('repeats every day, and shifting the time equals shifting the UTC offset', () => {
    fc.assert(fc.property(fc.nat(1e12), fc.integer({ min: -720, max: 840 }), (wall, offset) => {
      const patience = patienceAt(workspace, asId('writer'), wall, offset)
      expect(patienceAt(workspace, asId('writer'), wall + 24 * HOUR_MS, offset)).toEqual(patience)
      expect(patienceAt(workspace, asId('writer'), wall + offset * 60_000, 0)).toEqual(patience)
    }), { seed: 7 })
  })
})
