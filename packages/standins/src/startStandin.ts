/** Starts a stand-in (a fake server for tests and benchmarks) of any kind from plain data. */
import { FuchsiaError, assertNever } from '@fuchsiaworks/kernel'
import { type ConfigurationKnobs, type ConfigurationDocuments, startConfiguration } from './configuration/configuration.js'
import type { Standin } from './control/standinTypes.js'
import { type DelayKnobs, startDelayRelay } from './delay/delay.js'
import { startEngine } from './engine/engine.js'
import type { EngineKnobs } from './engine/engineTypes.js'
import { type HostsKnobs, type ListedHost, startHosts } from './hosts/hosts.js'
import { startPlain } from './plain/plain.js'
import type { PlainKnobs } from './plain/plainTypes.js'

/** Kinds of stand-in. */
export const STANDIN_KINDS = ['engine', 'plain', 'configuration', 'hosts', 'delay'] as const

/** A stand-in to start: its kind, port (0 for a free one), initial knobs, and the options of the kind. */
export type StandinSpec = { readonly port?: number } & (
  { readonly kind: 'engine', readonly knobs?: Partial<EngineKnobs> } |
  { readonly kind: 'plain', readonly knobs?: Partial<PlainKnobs> } |
  { readonly kind: 'configuration', readonly knobs?: Partial<ConfigurationKnobs>, readonly documents?: ConfigurationDocuments } |
  { readonly kind: 'hosts', readonly knobs?: Partial<HostsKnobs>, readonly hosts?: readonly ListedHost[] } |
  { readonly kind: 'delay', readonly knobs?: Partial<DelayKnobs>, readonly target: { readonly host: string, readonly port: number } }
)

/** The command line named a kind that does not exist. */
export class UnknownKindError extends FuchsiaError {
  constructor (kind: string) {
    super('unknown-kind', `unknown stand-in kind "${kind}"; known kinds: ${STANDIN_KINDS.join(', ')}`)
  }
}

/**
 * Starts a stand-in.
 *
 * @param spec - kind and options
 * @returns the running stand-in; its knobs are untyped because the kind is known at run time only
 */
export const startStandin = async (spec: StandinSpec): Promise<Standin<unknown>> => {
  switch (spec.kind) {
    case 'engine': return await startEngine(spec) as Standin<unknown>
    case 'plain': return await startPlain(spec) as Standin<unknown>
    case 'configuration': return await startConfiguration(spec) as Standin<unknown>
    case 'hosts': return await startHosts(spec) as Standin<unknown>
    case 'delay': return await startDelayRelay(spec) as Standin<unknown>
    default: return assertNever(spec)
  }
}
