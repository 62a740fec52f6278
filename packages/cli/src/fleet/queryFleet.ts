/** Queries one route of the administration APIs of several processes. */
import { type AdminResponse, type AdminRouteName, adminRoutes } from '@fuchsiaworks/admin'
import { toError } from '@fuchsiaworks/kernel'
import { request } from 'undici'
import type { CommandIo } from '../io/commandIo.js'
import type { Target } from './targets.js'

/** Timeout for the complete response of a process. */
const RESPONSE_TIMEOUT_MS = 5000

/** Response of one process. */
export interface ProcessResponse<Name extends AdminRouteName> {
  readonly target: Target
  readonly response: AdminResponse<Name>
}

/** A process without a valid response, and the reason. */
export interface Unreachable {
  readonly target: Target
  readonly reason: string
}

/** Responses of all processes. */
export interface FleetResponses<Name extends AdminRouteName> {
  readonly responses: ReadonlyArray<ProcessResponse<Name>>
  readonly unreachable: readonly Unreachable[]
}

const fetchResponse = async <Name extends AdminRouteName>(target: Target, name: Name, query: URLSearchParams): Promise<AdminResponse<Name>> => {
  const route = adminRoutes[name]
  const url = new URL(route.path, target.url)
  url.search = query.toString()
  const headers = { authorization: `Bearer ${target.key}` }
  const { statusCode, body } = await request(url, { method: route.method, headers, signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS) })
  const text = await body.text()
  if (statusCode !== 200) throw new Error(statusCode === 401 ? 'the key is wrong' : `status ${statusCode}`)
  const checked = route.responseSchema.safeParse(JSON.parse(text))
  if (!checked.success) throw new Error('the response does not match the schema of this fuchsiactl; the process may run another version')
  return checked.data as AdminResponse<Name>
}

const queryProcess = async <Name extends AdminRouteName>(target: Target, name: Name, query: URLSearchParams): Promise<ProcessResponse<Name> | Unreachable> => {
  try {
    return { target, response: await fetchResponse(target, name, query) }
  } catch (err) {
    return { target, reason: toError(err).message }
  }
}

/**
 * Queries all processes concurrently.
 *
 * @param targets - the processes
 * @param name - name of the route
 * @param query - query parameters of the route
 * @returns the responses, and the processes without a valid response
 */
export const queryFleet = async <Name extends AdminRouteName>(targets: readonly Target[], name: Name, query: Readonly<Record<string, string>> = {}): Promise<FleetResponses<Name>> => {
  const results = await Promise.all(targets.map(async target => await queryProcess(target, name, new URLSearchParams(query))))
  return {
    responses: results.filter(result => 'response' in result),
    unreachable: results.filter(result => 'reason' in result)
  }
}

/**
 * Prints the processes without a valid response, with the reasons.
 *
 * @param io - output streams
 * @param unreachable - the processes
 */
export const reportUnreachable = (io: CommandIo, unreachable: readonly Unreachable[]): void => {
  for (const { target, reason } of unreachable) io.err(`not reached: ${target.name}: ${reason}`)
}

/**
 * Converts the processes without a valid response to their JSON form: names and reasons, without the keys.
 *
 * @param unreachable - the processes
 */
export const listUnreachable = (unreachable: readonly Unreachable[]): Array<{ process: string, reason: string }> =>
  unreachable.map(({ target, reason }) => ({ process: target.name, reason }))
