import { describe, it } from 'node:test'
import { type ServiceId, type SiteId, asId } from '@fuchsiaworks/kernel'
import { checkDocuments, configForSite } from '@fuchsiaworks/settings'
import { expect } from 'earl'
import { COST } from '../measures/cost.js'
import { EXCHANGE_PERIOD_MS } from '../measures/fairnessBound.js'
import { listUpstreams } from './deploymentTypes.js'
import { DEPLOYMENTS } from './deployments.js'
import { NO_CHANGES, writeDocuments } from './documents.js'

describe('the deployments of the bench', () => {
  for (const [name, deployment] of Object.entries(DEPLOYMENTS)) {
    const zone = deployment.zones[0] ?? ''
    const leaving = listUpstreams(deployment).slice(0, 1).map(({ id }) => id)

    it(`publish a configuration for ${name} without findings, also when a zone is out and an upstream is leaving`, () => {
      for (const changes of [NO_CHANGES, { zonesOut: [zone], leaving }]) {
        expect(checkDocuments({ revision: 1, ...writeDocuments(deployment, changes) })).toEqual([])
      }
    })

    it(`charge the same costs and exchange at the same period at ${name} as the measures assume`, () => {
      const config = configForSite({ revision: 1, ...writeDocuments(deployment, NO_CHANGES) }, asId<SiteId>(name))
      expect(deployment.services.map(({ id }) => config.services[asId<ServiceId>(id)]?.cost)).toEqual(deployment.services.map(() => COST))
      expect(config.fairness.exchangeMs).toEqual(EXCHANGE_PERIOD_MS)
    })
  }
})
