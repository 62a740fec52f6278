import { describe, it } from 'node:test'
import { asId, FindingsError, type SiteId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { checkDocuments, configForSite, encodeDocuments, parseDocuments } from './configDocuments.js'

const base = JSON.stringify({ zones: { a: { region: 'r' } }, sites: { main: { zones: ['a'] }, far: { zones: [] } } })
const overlays = { [asId<SiteId>('main')]: '{"retries": {"percent": 5}}' }

describe('a document set', () => {
  it('comes back from its text', () => {
    const documents = { revision: 7, base, overlays }
    expect(parseDocuments({ name: 'set', text: encodeDocuments(documents) })).toEqual(documents)
  })

  it('gives each site the base with its own overlay', () => {
    const documents = { revision: 7, base, overlays }
    expect(configForSite(documents, asId('main')).retries.percent).toEqual(5)
    expect(configForSite(documents, asId('far')).retries.percent).toEqual(10)
  })

  it('is refused as a whole when the overlay of another site has an error or names no site', () => {
    const documents = { revision: 8, base, overlays: { ...overlays, [asId<SiteId>('far')]: '{"nope": 1}', [asId<SiteId>('lost')]: '{}' } }
    expect(() => configForSite(documents, asId('main'))).toThrow(FindingsError)
    expect(checkDocuments(documents).map(finding => finding.message)).toEqual(['unknown key', 'unknown site "lost"'])
  })

  it('is refused without a revision', () => {
    expect(() => parseDocuments({ name: 'set', text: '{"base": "{}", "overlays": {}}' })).toThrow(FindingsError)
  })
})
