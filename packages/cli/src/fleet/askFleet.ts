/** Asks many processes the same question over their administration APIs. */
import { type AdminResponse, type AdminRouteName, adminRoutes } from '@fuchsiaworks/admin'
import { toError } from '@fuchsiaworks/kernel'
import { request } from 'undici'
import type { CommandIo } from '../io/commandIo.js'
import type { Target } from './targets.js'

/** Milliseconds in which a process must have answered. */
const ANSWER_TIMEOUT_MS = 5000

/** Answer of one process. */
export interface Answered<Name extends AdminRouteName> {
  readonly target: Target
  readonly answer: AdminResponse<Name>
}

/** A process that gave no answer. */
export interface Unreachable {
  readonly target: Target
  readonly reason: string
}

/** What all processes said. */
export interface FleetAnswers<Name extends AdminRouteName> {
  readonly answered: ReadonlyArray<Answered<Name>>
  readonly unreachable: readonly Unreachable[]
}

const readAnswer = async <Name extends AdminRouteName>(target: Target, name: Name, query: URLSearchParams): Promise<AdminResponse<Name>> => {
  const route = adminRoutes[name]
  const url = new URL(route.path, target.url)
  url.search = query.toString()
  const headers = { authorization: `Bearer ${target.key}` }
  const { statusCode, body } = await request(url, { method: route.method, headers, signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) })
  const text = await body.text()
  if (statusCode !== 200) throw new Error(statusCode === 401 ? 'the key is wrong' : `status ${statusCode}`)
  const checked = route.responseSchema.safeParse(JSON.parse(text))
  if (!checked.success) throw new Error('the answer is not of the known form; is the process of another version?')
  return checked.data as AdminResponse<Name>
}

const askOne = async <Name extends AdminRouteName>(target: Target, name: Name, query: URLSearchParams): Promise<Answered<Name> | Unreachable> => {
  try {
    return { target, answer: await readAnswer(target, name, query) }
  } catch (err) {
    return { target, reason: toError(err).message }
  }
}

/**
 * Asks every process at the same time.
 *
 * @param targets - the processes
 * @param name - the route
 * @param query - query of the route
 * @returns the answers, and the processes that gave none
 */
export const askFleet = async <Name extends AdminRouteName>(targets: readonly Target[], name: Name, query: Readonly<Record<string, string>> = {}): Promise<FleetAnswers<Name>> => {
  const results = await Promise.all(targets.map(async target => await askOne(target, name, new URLSearchParams(query))))
  return {
    answered: results.filter(result => 'answer' in result),
    unreachable: results.filter(result => 'reason' in result)
  }
}

/**
 * Names the processes that gave no answer.
 *
 * @param io - where the names go
 * @param unreachable - the processes
 */
export const reportUnreachable = (io: CommandIo, unreachable: readonly Unreachable[]): void => {
  for (const { target, reason } of unreachable) io.err(`not reached: ${target.name}: ${reason}`)
}

/**
 * Forms the JSON of the processes that gave no answer.
 *
 * @param unreachable - the processes
 * @returns their names and reasons, without keys
 */
export const listUnreachable = (unreachable: readonly Unreachable[]): Array<{ process: string, reason: string }> =>
  unreachable.map(({ target, reason }) => ({ process: target.name, reason }))
