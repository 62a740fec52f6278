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

const answer = async <K>(standin: Standin<K>, path: string, req: IncomingMessage, res: ServerResponse): Promise<void> => {
  if (req.method === 'GET' && path === 'facts') return sendJson(res, 200, standin.facts())
  if (req.method === 'GET' && path === 'knobs') return sendJson(res, 200, standin.knobs())
  if (req.method === 'PUT' && path === 'knobs') {
    standin.set(await readJson(req) as Partial<K>)
    return sendJson(res, 200, standin.knobs())
  }
  const order = req.method === 'POST' ? standin.orders[path] : undefined
  if (order === undefined) return sendJson(res, 404, { error: `no ${req.method} ${path} here` })
  order(await readJson(req))
  sendJson(res, 200, {})
}

const open = async (port: number, run: (path: string, req: IncomingMessage, res: ServerResponse) => Promise<void>): Promise<ControlServer> => {
  const server = await SwitchedServer.open((req, res) => {
    run(requestUrl(req).pathname.slice(1), req, res).catch((err: unknown) => { sendJson(res, 400, { error: String(err) }) })
  }, port)
  return { url: server.url, close: async () => { await server.close() } }
}

/**
 * Opens the control port of a stand-in: GET and PUT /knobs, GET /facts, POST /ORDER.
 *
 * @param standin - what it controls
 * @param port - the port, or 0 to take a free one
 * @returns the open port
 */
export const openControl = async <K>(standin: Standin<K>, port: number): Promise<ControlServer> =>
  await open(port, async (path, req, res) => { await answer(standin, path, req, res) })

/**
 * Opens one control port for several stand-ins; the path begins with the name of one.
 *
 * @param standins - what it controls, by name
 * @param port - the port, or 0 to take a free one
 * @returns the open port
 */
export const openGroupControl = async (standins: ReadonlyMap<string, Standin<unknown>>, port: number): Promise<ControlServer> =>
  await open(port, async (path, req, res) => {
    const [name = '', ...rest] = path.split('/')
    const standin = standins.get(name)
    if (standin === undefined) return sendJson(res, 404, { error: `no stand-in "${name}" here` })
    await answer(standin, rest.join('/'), req, res)
  })
