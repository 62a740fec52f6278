/** Predefined deployments: two realistic ones, and a small one for local trials. */
import type { Deployment, ServiceShape } from './deploymentTypes.js'
import { type WorkspaceSize, createWorkspaces } from './workspaces.js'

const engineService = (id: string, upstreamZones: readonly string[]): ServiceShape =>
  ({ id, kind: 'engine', upstreamZones, slots: 8, coldSlots: 2, notIdempotentPaths: [], standinTimeMs: 30 })

const plainService = (id: string, upstreamZones: readonly string[], notIdempotentPaths: readonly string[]): ServiceShape =>
  ({ id, kind: 'plain', upstreamZones, slots: 4, coldSlots: 2, notIdempotentPaths, standinTimeMs: 40 })

/** Three large workspaces, five medium ones, eight small ones. */
const SIZES = [
  ...Array.from({ length: 3 }, () => ({ weight: 4, share: 0.16 })),
  ...Array.from({ length: 5 }, () => ({ weight: 2, share: 0.06 })),
  ...Array.from({ length: 8 }, () => ({ weight: 1, share: 0.0275 }))
]

const assignSizes = (ids: readonly string[]): WorkspaceSize[] =>
  ids.map((id, index) => ({ id, ...(SIZES[index] ?? { weight: 1, share: 0.0275 }) }))

const PRAIRIE_ZONES = ['regina', 'saskatoon', 'brandon', 'lethbridge'] as const

const PRAIRIE_WORKSPACES = assignSizes([
  'queen-city', 'bridge-city', 'wheat-city', 'swift-current', 'yorkton', 'moose-jaw', 'prince-albert', 'estevan',
  'weyburn', 'melville', 'humboldt', 'kindersley', 'rosetown', 'biggar', 'wynyard', 'esterhazy'
])

const prairie: Deployment = {
  name: 'prairie',
  region: 'prairie',
  zones: PRAIRIE_ZONES,
  routerZones: ['regina', 'saskatoon', 'brandon'],
  services: [
    engineService('scribe', ['regina', 'regina', 'saskatoon', 'saskatoon', 'brandon', 'lethbridge']),
    plainService('ledger', PRAIRIE_ZONES, ['/contributions'])
  ],
  workspaces: createWorkspaces(PRAIRIE_WORKSPACES, ['scribe', 'ledger'], 3),
  linkDelayMs: 0.5,
  callerDelayMs: 1,
  utcOffsetMinutes: -360
}

const MORETON_ZONES = ['qld-south-a', 'qld-south-b', 'qld-south-c'] as const

const MORETON_WORKSPACES = assignSizes([
  'courier', 'herald', 'tribune', 'ipswich', 'toowoomba', 'redlands', 'logan', 'caboolture',
  'gympie', 'noosa', 'warwick', 'dalby', 'roma', 'kingaroy', 'beaudesert', 'gatton'
])

const moreton: Deployment = {
  name: 'moreton',
  region: 'qld-south',
  zones: MORETON_ZONES,
  routerZones: ['qld-south-a', 'qld-south-b'],
  services: [
    engineService('review-models', [...MORETON_ZONES, ...MORETON_ZONES]),
    plainService('mod-desk', MORETON_ZONES, ['/strikes'])
  ],
  workspaces: createWorkspaces(MORETON_WORKSPACES, ['review-models', 'mod-desk'], 2),
  linkDelayMs: 1,
  callerDelayMs: 3,
  utcOffsetMinutes: 600
}

const local: Deployment = {
  name: 'local',
  region: 'here',
  zones: ['east', 'west'],
  routerZones: ['east', 'west'],
  services: [
    engineService('scribe', ['east', 'west', 'west']),
    plainService('ledger', ['east'], ['/contributions'])
  ],
  workspaces: createWorkspaces([
    { id: 'town', weight: 2, share: 0.5 }, { id: 'village', weight: 1, share: 0.3 }, { id: 'hamlet', weight: 1, share: 0.2 }
  ], ['scribe', 'ledger'], 2).map(workspace => ({ ...workspace, services: { scribe: 0.5, ledger: 0.5 }, routers: [0, 1] })),
  linkDelayMs: 0,
  callerDelayMs: 0,
  utcOffsetMinutes: 0
}

/** Deployments by name. */
export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = { prairie, moreton, local }
