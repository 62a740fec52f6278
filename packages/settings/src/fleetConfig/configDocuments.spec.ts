import { describe, it } from 'node:test'
import { asId, FindingsError, type SiteId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import { sortUniqueFindings } from '../document/findingLists.js'
import { checkConfig, checkSite } from './checkConfig.js'
import { checkDocuments, configForSite, encodeDocuments, parseDocuments } from './configDocuments.js'

const base = JSON.stringify({ zones: { a: { region: 'r' } }, sites: { main: { zones: ['a'] }, far: { zones: [] } } })
const overlays = { [asId<SiteId>('main')]: '{"retries": {"percent": 5}}' }

describe('a document set', () => {
  it('survives a round trip through its JSON text', () => {
    const documents = { revision: 7, base, overlays }
    expect(parseDocuments({ name: 'set', text: encodeDocuments(documents) })).toEqual(documents)
  })

  it('yields the base merged with the overlay of the site', () => {
    const documents = { revision: 7, base, overlays }
    expect(configForSite(documents, asId('main')).retries.percent).toEqual(5)
    expect(configForSite(documents, asId('far')).retries.percent).toEqual(10)
  })

  it('is rejected entirely if the overlay of another site has an error or belongs to an unknown site', () => {
    const documents = { revision: 8, base, overlays: { ...overlays, [asId<SiteId>('far')]: '{"nope": 1}', [asId<SiteId>('lost')]: '{}' } }
    expect(() => configForSite(documents, asId('main'))).toThrow(FindingsError)
    expect(checkDocuments(documents).map(finding => finding.message)).toEqual(['unknown key', 'unknown site "lost"'])
  })

  it('yields the same findings whether overlays are checked together or separately', () => {
    const baseConfig = {
      zones: { a: { region: 'r' }, b: { region: 'r' } },
      sites: { main: { zones: ['a', 'b'] } },
      services: { s: { kind: 'plain' } },
      upstreams: { u: { service: 's', zone: 'a', host: 'h' }, v: { service: 's', zone: 'b', host: 'g' } },
      workspaces: { w: { services: ['s'] } }
    }
    const overlay = fc.constantFrom(
      {}, { zones: { b: null } }, { zones: { c: { region: 'r' } } }, { services: { s: { kind: 'engine' } } }, { services: { s: null } },
      { upstreams: { v: { host: 'h' } } }, { upstreams: { v: { zone: 'x' } } }, { workspaces: { w: { services: ['t'] } } }, { workspaces: { w: { nope: 1 } } },
      { sites: { main: { zones: ['a'] } } }, { links: { heartbeatMs: 5000 } }, { zones: 3 })
    fc.assert(fc.property(fc.array(overlay, { maxLength: 4 }), list => {
      const text = { name: 'base', text: JSON.stringify(baseConfig) }
      const texts = list.map((value, index) => ({ name: `overlay ${index}`, text: JSON.stringify(value) }))
      const separateFindings = [undefined, ...texts].flatMap(overlayText => checkSite(text, overlayText).findings)
      expect(checkConfig(text, texts).findings).toEqual(sortUniqueFindings(separateFindings))
    }), { seed: 12 })
  })

  it('is rejected without a revision', () => {
    expect(() => parseDocuments({ name: 'set', text: '{"base": "{}", "overlays": {}}' })).toThrow(FindingsError)
  })
})
