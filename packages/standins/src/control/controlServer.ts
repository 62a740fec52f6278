/** The control port of a stand-in: knobs, facts and orders over JSON. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody, requestUrl, sendJson } from '../server/httpHelpers.js'
import { SwitchedServer } from '../server/switchedServer.js'
import type { Standin } from './standinTypes.js'

/** A control port. */
export interface ControlServer {
  readonly url: string
  close: () => Promise<void>
}

const readJson = async (req: IncomingMessage): Promise<unknown> => JSON.parse((await readBody(req)).toString('utf8'))

const answer = async <K>(standin: Standin<K>, req: IncomingMessage, res: ServerResponse): Promise<void> => {
  const { pathname } = requestUrl(req)
  if (req.method === 'GET' && pathname === '/facts') return sendJson(res, 200, standin.facts())
  if (req.method === 'GET' && pathname === '/knobs') return sendJson(res, 200, standin.knobs())
  if (req.method === 'PUT' && pathname === '/knobs') {
    standin.set(await readJson(req) as Partial<K>)
    return sendJson(res, 200, standin.knobs())
  }
  const order = req.method === 'POST' ? standin.orders[pathname.slice(1)] : undefined
  if (order === undefined) return sendJson(res, 404, { error: `no ${req.method} ${pathname} here` })
  order(await readJson(req))
  sendJson(res, 200, {})
}

/**
 * Opens the control port of a stand-in: GET and PUT /knobs, GET /facts, POST /ORDER.
 *
 * @param standin - what it controls
 * @param port - the port, or 0 to take a free one
 * @returns the open port
 */
export const openControl = async <K>(standin: Standin<K>, port: number): Promise<ControlServer> => {
  const server = await SwitchedServer.open((req, res) => {
    answer(standin, req, res).catch((err: unknown) => { sendJson(res, 400, { error: String(err) }) })
  }, port)
  return { url: server.url, close: async () => { await server.close() } }
}
