import { describe, it } from 'node:test'
import { asId, FindingsError, formatFinding, type ServiceId, type WorkspaceId } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import fc from 'fast-check'
import type { NamedText } from '../document/documentTypes.js'
import { checkConfig, checkSite, defaultFleetConfig, parseConfig } from './checkConfig.js'

const KEY = 'ab'.repeat(32)

const smallConfig = {
  zones: { east: { region: 'r' }, west: { region: 'r' } },
  services: { writer: { kind: 'engine' }, book: { kind: 'plain' } },
  upstreams: {
    w1: { service: 'writer', zone: 'east', host: 'h1' },
    b1: { service: 'book', zone: 'west', host: 'h2' }
  },
  workspaces: { town: { weight: 2, keys: [KEY], services: ['book'] } },
  sites: { main: { zones: ['east', 'west'] } }
}

const createJsonSource = (name: string, value: unknown): NamedText => ({ name, text: JSON.stringify(value) })

const messages = (base: unknown, ...overlays: unknown[]): string[] =>
  checkConfig(createJsonSource('base', base), overlays.map((overlay, index) => createJsonSource(`overlay${index}`, overlay)))
    .findings.map(({ path, message }) => `${path}: ${message}`)

describe('the shared configuration', () => {
  it('applies defaults, including those that depend on the kind of a service', () => {
    const config = parseConfig(createJsonSource('base', smallConfig), undefined)
    expect(config.services[asId<ServiceId>('writer')]?.idempotentPaths).toEqual(['/v1/'])
    expect(config.services[asId<ServiceId>('book')]?.idempotentPaths).toEqual([])
    expect(config.workspaces[asId<WorkspaceId>('town')]?.patience.defaultMs).toEqual(30_000)
    expect(config.links).toEqual(defaultFleetConfig.links)
  })

  it('has no entry under the name of a property that objects inherit', () => {
    expect(parseConfig(createJsonSource('base', smallConfig), undefined).services[asId<ServiceId>('constructor')]).toEqual(undefined)
  })

  it('reports schema, reference and overlay findings in one run, each with its place', () => {
    const base = { name: 'base.jsonc', text: '{\n "zones": {"east": {"region": "r"}},\n "services": {"s": {"kind": "plain", "maxConcurrency": "4"}},\n "nope": 1\n}' }
    const overlay = { name: 'site.jsonc', text: '{"services": {"s": {"cost": {"busyMilli": 2}}}}' }
    expect(checkConfig(base, [overlay]).findings.map(formatFinding)).toEqual([
      'base.jsonc:2:12: error: zones.east: no site has this zone',
      'base.jsonc:3:20: warning: services.s: no upstream offers this service',
      'base.jsonc:3:56: error: services.s.maxConcurrency: expected a whole number of requests from 1 to 65536, not "4"',
      'base.jsonc:4:2: error: nope: unknown key',
      'site.jsonc:1:43: error: services.s.cost.busyMilli: an overlay can\'t change this: service is counted over all sites'
    ])
  })

  it('reports references to services and zones that are not configured', () => {
    expect(messages({
      ...smallConfig,
      upstreams: { ...smallConfig.upstreams, x: { service: 'none', zone: 'north', host: 'h3' } },
      workspaces: { town: { services: ['gone'], patience: { byService: { lost: 5 } } } },
      sites: { main: { zones: ['east', 'south', 'west'] } }
    })).toEqual([
      'upstreams.x.service: unknown service "none"',
      'upstreams.x.zone: unknown zone "north"',
      'workspaces.town.services.0: unknown service "gone"',
      'workspaces.town.patience.byService.lost: unknown service "lost"',
      'sites.main.zones.1: unknown zone "south"'
    ])
  })

  it('reports duplicate keys, hosts, zones and times of day, and timings in the wrong order', () => {
    expect(messages({
      ...smallConfig,
      upstreams: { ...smallConfig.upstreams, b2: { service: 'book', zone: 'west', host: 'h2' } },
      workspaces: { town: { keys: [KEY] }, city: { keys: [KEY], patience: { daily: [{ from: '05:00', ms: 1 }, { from: '05:00', ms: 2 }] } } },
      sites: { main: { zones: ['east', 'west'] }, other: { zones: ['west'] } },
      links: { heartbeatMs: 3000, silenceMs: 2000 }
    })).toEqual([
      'upstreams.b2.host: duplicate host "h2"; it was first given as upstreams.b1.host',
      `workspaces.city.keys.0: duplicate caller key "${KEY}"; it was first given as workspaces.town.keys.0`,
      'workspaces.city.patience.daily.1.from: duplicate time of day "05:00"; it was first given as workspaces.city.patience.daily.0.from',
      'sites.other.zones.0: duplicate zone "west"; it was first given as sites.main.zones.1',
      'links.heartbeatMs: must be less than links.silenceMs, which is 2000'
    ])
  })

  it('reports overlays that change keys which must be the same at all sites', () => {
    const reason = 'the home of an Idempotency-Key is chosen from the same upstreams everywhere'
    expect(messages(smallConfig, { upstreams: { w1: null } }, { workspaces: { town: { weight: 3 } } }, { zones: { east: { state: 'out' } } })).toEqual([
      'services.writer: no upstream offers this service',
      `upstreams.w1: an overlay can't change this: ${reason}`,
      'workspaces.town.weight: an overlay can\'t change this: shares are compared over all sites'
    ])
  })

  it('returns the file that set each value', () => {
    const { origins } = checkSite(createJsonSource('base', smallConfig), createJsonSource('overlay', { zones: { east: { state: 'out' } } }))
    expect(origins().get('zones.east.state')?.file).toEqual('overlay')
    expect(origins().get('zones.east.region')?.file).toEqual('base')
    expect(origins().get('zones.west.state')).toEqual(undefined)
  })

  it('does not print a caller key that was pasted in place of its digest', () => {
    expect(messages({ ...smallConfig, workspaces: { town: { keys: ['sk-secret'] } } }).join('').includes('sk-secret')).toEqual(false)
  })

  it('throws no error other than FindingsError for arbitrary input', () => {
    const valid = JSON.stringify(smallConfig)
    const broken = fc.tuple(fc.nat(valid.length), fc.nat(20), fc.string())
      .map(([at, length, text]) => valid.slice(0, at) + text + valid.slice(at + length))
    const bytes = fc.uint8Array({ maxLength: 200 }).map(data => Buffer.from(data).toString('latin1'))
    fc.assert(fc.property(fc.oneof(broken, bytes, fc.json()), fc.oneof(fc.constant('{}'), broken, fc.json()), (base, overlay) => {
      try {
        parseConfig({ name: 'base', text: base }, { name: 'overlay', text: overlay })
      } catch (err) {
        expect(err instanceof FindingsError).toEqual(true)
      }
    }), { seed: 6, numRuns: 500 })
  })
})
