/** Formats the time line of one request as a Mermaid sequence diagram. */
import { assertNever, type RequestEvent, type RequestId } from '@fuchsiaworks/kernel'
import type { MergedEntry } from './timelineTypes.js'

const CALLER = 'caller'

/** Characters that Mermaid may interpret as syntax. */
const UNSAFE_CHARACTERS = /[^\w .,()/=+-]/g

const removeSyntax = (text: string): string => text.replace(UNSAFE_CHARACTERS, ' ').trim()

/** Aliases of participants by their names. */
type Aliases = ReadonlyMap<string, string>

/** An event of the request with the process that recorded it. */
type Step = MergedEntry & { readonly event: RequestEvent }

const isStep = (request: RequestId) => (entry: MergedEntry): entry is Step =>
  'request' in entry.event && entry.event.request === request

const upstreamName = (upstream: string): string => `upstream ${upstream}`

/** Returns the participants: the caller, routers, agents and upstreams, within each group in the order of their first steps. */
const participantsOf = (steps: readonly Step[]): string[] => {
  const routers = steps.filter(step => step.role === 'router').map(step => step.host)
  const agents = steps.filter(step => step.role === 'agent').map(step => step.host)
  const upstreams = steps.flatMap(({ event }) => event.upstream === undefined ? [] : [upstreamName(event.upstream)])
  return [...new Set<string>([CALLER, ...routers, ...agents, ...upstreams])]
}

/** Returns the agent of an upstream, the upstream itself if its agent recorded no step, or the caller if no upstream is given. */
const agentOf = (steps: readonly Step[], upstream: string | undefined): string => {
  const agent = steps.find(step => step.role === 'agent' && step.event.upstream === upstream)?.host
  return agent ?? (upstream === undefined ? CALLER : upstreamName(upstream))
}

/** Returns the router that recorded the last router step at or before a step of an agent, or else the first router. */
const routerBefore = (steps: readonly Step[], step: Step): string => {
  const routers = steps.filter(other => other.role === 'router')
  return routers.findLast(other => other.time <= step.time)?.host ?? routers[0]?.host ?? step.host
}

const arrow = (from: string, arrowSyntax: string, to: string, text: string): string => `  ${from}${arrowSyntax}${to}: ${text}`

const lineOf = (steps: readonly Step[], aliases: Aliases, step: Step): string => {
  const { event, host, role } = step
  const alias = (name: string): string => aliases.get(name) ?? CALLER
  const hostAlias = alias(host)
  const upstreamAlias = event.upstream === undefined ? hostAlias : alias(upstreamName(event.upstream))
  const text = removeSyntax([event.kind.replace('request-', '').replaceAll('-', ' '), event.detail ?? ''].join(' '))
  switch (event.kind) {
    case 'request-received':
      return arrow(alias(CALLER), '->>', hostAlias, text)
    case 'request-handed-over':
      return role === 'router' ? arrow(hostAlias, '->>', alias(agentOf(steps, event.upstream)), text) : `  Note over ${hostAlias}: ${text}`
    case 'request-started':
      return arrow(hostAlias, '->>', upstreamAlias, text)
    case 'request-first-byte':
    case 'request-ended':
      return role === 'router' ? arrow(hostAlias, '-->>', alias(CALLER), text) : arrow(upstreamAlias, '-->>', hostAlias, text)
    case 'request-refused':
      return arrow(hostAlias, '-->>', alias(CALLER), text)
    case 'request-declined':
      return role === 'agent' ? arrow(hostAlias, '-->>', alias(routerBefore(steps, step)), text) : `  Note over ${hostAlias}: ${text}`
    case 'request-abandoned':
      return arrow(alias(CALLER), '-x', hostAlias, text)
    case 'request-offered':
    case 'request-resumed':
    case 'request-retried':
      return `  Note over ${hostAlias}: ${text}`
    default:
      return assertNever(event.kind)
  }
}

/**
 * Returns the lines of the sequence diagram of a request.
 *
 * @param entries - entries of the merged time line
 * @param request - id of the request
 */
export const sequenceDiagram = (entries: readonly MergedEntry[], request: RequestId): string[] => {
  const steps = entries.filter(isStep(request))
  const names = participantsOf(steps)
  const aliases = new Map(names.map((name, index) => [name, `p${index}`]))
  return [
    'sequenceDiagram',
    ...names.map((name, index) => `  participant p${index} as ${removeSyntax(name)}`),
    ...steps.map(step => lineOf(steps, aliases, step))
  ]
}
