/** Control port of a stand-in: knobs, facts and commands as JSON over HTTP. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody, requestUrl, sendJson } from '../server/httpHelpers.js'
import { SwitchableServer } from '../server/switchableServer.js'
import type { Standin } from './standinTypes.js'

/** A listening control port. */
export interface ControlServer {
  readonly url: string
  close: () => Promise<void>
}

const readJson = async (req: IncomingMessage): Promise<unknown> => JSON.parse((await readBody(req)).toString('utf8'))

const handleControlRequest = async <K>(standin: Standin<K>, path: string, req: IncomingMessage, res: ServerResponse): Promise<void> => {
  if (req.method === 'GET' && path === 'facts') return sendJson(res, 200, standin.facts())
  if (req.method === 'GET' && path === 'knobs') return sendJson(res, 200, standin.knobs())
  if (req.method === 'PUT' && path === 'knobs') {
    standin.updateKnobs(await readJson(req) as Partial<K>)
    return sendJson(res, 200, standin.knobs())
  }
  const command = req.method === 'POST' ? standin.commands[path] : undefined
  if (command === undefined) return sendJson(res, 404, { error: `no control path ${req.method} ${path}` })
  command(await readJson(req))
  sendJson(res, 200, {})
}

const openServer = async (port: number, run: (path: string, req: IncomingMessage, res: ServerResponse) => Promise<void>): Promise<ControlServer> => {
  const server = await SwitchableServer.open((req, res) => {
    run(requestUrl(req).pathname.slice(1), req, res).catch((err: unknown) => { sendJson(res, 400, { error: String(err) }) })
  }, port)
  return { url: server.url, close: async () => { await server.close() } }
}

/**
 * Opens the control port of a stand-in: GET and PUT /knobs, GET /facts, POST /COMMAND.
 *
 * @param standin - the stand-in to control
 * @param port - the port, or 0 for a free one
 * @returns the open port
 */
export const openControlServer = async <K>(standin: Standin<K>, port: number): Promise<ControlServer> =>
  await openServer(port, async (path, req, res) => { await handleControlRequest(standin, path, req, res) })

/**
 * Opens one control port for several stand-ins; the first path segment is the name of the stand-in.
 *
 * @param standins - the stand-ins to control, by name
 * @param port - the port, or 0 for a free one
 * @returns the open port
 */
export const openGroupControlServer = async (standins: ReadonlyMap<string, Standin<unknown>>, port: number): Promise<ControlServer> =>
  await openServer(port, async (path, req, res) => {
    const [name = '', ...rest] = path.split('/')
    const standin = standins.get(name)
    if (standin === undefined) return sendJson(res, 404, { error: `no stand-in "${name}" in this group` })
    await handleControlRequest(standin, rest.join('/'), req, res)
  })
