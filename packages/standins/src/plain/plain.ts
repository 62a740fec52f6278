/** Stand-in for a plain HTTP service, such as a ledger: echoes each request and counts how often each was executed. */
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { LaggedLoad } from '../control/laggedLoad.js'
import type { RequestRun, Standin } from '../control/standinTypes.js'
import { CrashableUpstream } from '../server/crashableUpstream.js'
import { readBody, requestUrl, sendJson, sleep } from '../server/httpHelpers.js'
import { SwitchableServer } from '../server/switchableServer.js'
import { bodyFromNonce } from './plainText.js'
import { DEFAULT_PLAIN_KNOBS, type PlainEcho, type PlainKnobs } from './plainTypes.js'

/** Port and initial knobs of a plain service. */
export interface PlainOptions {
  readonly port?: number
  readonly knobs?: Partial<PlainKnobs>
}

/** Header with the nonce (request identifier); the query parameter `nonce=` takes precedence. */
const NONCE_HEADER = 'x-nonce'

/** Header with the digest of the response body; sent as a trailer when the query has `trailers=1`. */
const DIGEST_HEADER = 'x-body-sha256'

/** Largest chunk of a response body per write. */
const CHUNK_BYTES = 65_536

const sha256 = (data: Buffer | string): string => createHash('sha256').update(data).digest('hex')

const waitForDrain = async (res: ServerResponse): Promise<void> => {
  await new Promise<void>(resolve => {
    const done = (): void => {
      res.off('drain', done)
      res.off('close', done)
      resolve()
    }
    res.once('drain', done)
    res.once('close', done)
  })
}

const writeChunks = async (res: ServerResponse, body: Buffer): Promise<void> => {
  for (let from = 0; from < body.length && !res.destroyed; from += CHUNK_BYTES) {
    if (!res.write(body.subarray(from, from + CHUNK_BYTES))) await waitForDrain(res)
  }
}

class PlainService extends CrashableUpstream<PlainKnobs> {
  readonly load = new LaggedLoad(() => ({ running: this.activeRuns.size, waiting: 0, kvUse: 0 }))

  constructor (knobs: Partial<PlainKnobs>) {
    super({ ...DEFAULT_PLAIN_KNOBS, ...knobs })
  }

  async handleRequest (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.knobs.silent) return
    const url = requestUrl(req)
    if (url.pathname === '/load') return sendJson(res, 200, this.load.report(this.knobs.loadLag))
    if (url.pathname === '/health') return sendJson(res, 200, {})
    const body = await readBody(req)
    const nonce = url.searchParams.get('nonce') ?? req.headers[NONCE_HEADER]?.toString() ?? ''
    const run = this.runLog.recordStart(nonce, req.method ?? '', req.url ?? '')
    this.activeRuns.add(run)
    this.load.sample()
    if (this.knobs.crashOn !== '' && req.url?.includes(this.knobs.crashOn) === true) return this.crash()
    await this.performWork(url, run, res)
    if (run.end !== 'running') return
    await this.sendEcho(req, url, nonce, body, res)
    this.finish(run, 'complete')
  }

  async performWork (url: URL, run: RequestRun, res: ServerResponse): Promise<void> {
    res.once('close', () => { if (!res.writableFinished) this.finish(run, 'cancelled') })
    const baseMs = Number(url.searchParams.get('busy') ?? this.knobs.busy)
    await sleep(this.knobs.latency + baseMs * Math.max(1, this.activeRuns.size / this.knobs.knee))
    if (run.end === 'running') this.runLog.recordWork(run, 0, baseMs)
  }

  async sendEcho (req: IncomingMessage, url: URL, nonce: string, body: Buffer, res: ServerResponse): Promise<void> {
    const bytes = url.searchParams.get('bytes')
    const content = bytes === null ? Buffer.from(JSON.stringify(this.buildEcho(req, nonce, body))) : bodyFromNonce(nonce, Number(bytes))
    const status = Number(url.searchParams.get('status') ?? 200)
    const type = bytes === null ? 'application/json' : 'application/octet-stream'
    if (url.searchParams.get('trailers') !== '1') {
      res.writeHead(status, { 'content-type': type, 'content-length': content.length, [DIGEST_HEADER]: sha256(content) })
    } else {
      res.writeHead(status, { 'content-type': type, trailer: DIGEST_HEADER })
      res.addTrailers({ [DIGEST_HEADER]: sha256(content) })
    }
    await writeChunks(res, content)
    res.end()
  }

  buildEcho (req: IncomingMessage, nonce: string, body: Buffer): PlainEcho {
    const headers = Object.fromEntries(Object.entries(req.headers).map(([name, value]) => [name, String(value)]))
    return { method: req.method ?? '', path: req.url ?? '', headers, nonce, bodyBytes: body.length, bodySha256: sha256(body) }
  }

  protected reset (): void {}
}

/**
 * Starts a plain service stand-in. Query parameters on any path: `busy=MS`, `bytes=N`, `trailers=1`, `status=N`, `nonce=TEXT`.
 *
 * @param options - port and initial knobs
 * @returns the running service; its command `crash` crashes it
 */
export const startPlain = async (options: PlainOptions = {}): Promise<Standin<PlainKnobs>> => {
  const plain = new PlainService(options.knobs ?? {})
  const server = await SwitchableServer.open((req, res) => {
    plain.handleRequest(req, res).catch(() => { res.destroy() })
  }, options.port ?? 0)
  plain.server = server
  return {
    url: server.url,
    knobs: () => plain.knobs,
    updateKnobs: knobs => { plain.updateKnobs(knobs) },
    facts: () => ({ ...plain.runLog.facts(), crashes: plain.crashes, running: plain.activeRuns.size }),
    commands: { crash: () => { plain.crash() } },
    close: async () => { await plain.close() }
  }
}
