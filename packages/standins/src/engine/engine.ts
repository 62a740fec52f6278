/** Stand-in for a model engine: OpenAI-compatible chat completions with continuous batching. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { LaggedLoad } from '../control/laggedLoad.js'
import type { RequestRun, Standin } from '../control/standinTypes.js'
import { CrashableUpstream } from '../server/crashableUpstream.js'
import { readBody, requestUrl, sendJson, sleep } from '../server/httpHelpers.js'
import { SwitchableServer } from '../server/switchableServer.js'
import { Batch, type BatchEntry } from './batch.js'
import { openChatResponse } from './chatAnswer.js'
import { countTokens, nonceOfPrompt, parseChatRequest } from './engineText.js'
import { type ChatRequest, DEFAULT_ENGINE_KNOBS, type EngineKnobs } from './engineTypes.js'

/** Port and initial knobs of an engine. */
export interface EngineOptions {
  readonly port?: number
  readonly knobs?: Partial<EngineKnobs>
}

class Engine extends CrashableUpstream<EngineKnobs> {
  readonly batch = new Batch(() => this.knobs)
  readonly load = new LaggedLoad(() => ({
    running: this.batch.size,
    waiting: this.batch.waiting,
    kvUse: Math.min(1, this.batch.heldTokens / this.knobs.kvTokens)
  }))

  constructor (knobs: Partial<EngineKnobs>) {
    super({ ...DEFAULT_ENGINE_KNOBS, ...knobs })
  }

  async handleRequest (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { pathname } = requestUrl(req)
    if (this.knobs.silent) return
    if (pathname === '/load') return sendJson(res, 200, this.load.report(this.knobs.loadLag))
    if (pathname === '/health') return sendJson(res, 200, {})
    if (pathname !== '/v1/chat/completions' || req.method !== 'POST') return sendJson(res, 404, { error: { message: 'unknown path' } })
    const chat = parseChatRequest((await readBody(req)).toString('utf8'))
    await this.runChat(chat, req, res)
  }

  async runChat (chat: ChatRequest, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const run = this.runLog.recordStart(nonceOfPrompt(chat.prompt), 'POST', req.url ?? '')
    this.activeRuns.add(run)
    if (this.shouldCrash(chat)) return this.crash()
    const cancelled = new Promise<void>(resolve => { res.once('close', resolve) })
    await Promise.race([sleep(this.knobs.latency), cancelled])
    if (res.destroyed) return this.finish(run, 'cancelled')
    this.joinBatch(chat, run, res)
  }

  joinBatch (chat: ChatRequest, run: RequestRun, res: ServerResponse): void {
    const promptTokens = countTokens(chat.prompt)
    const writer = openChatResponse(res, chat)
    const entry: BatchEntry = {
      promptTokens,
      maxTokens: chat.maxTokens,
      onToken: index => {
        this.runLog.recordWork(run, index === 0 ? promptTokens : 0, 1)
        if (index === 0) this.load.sample()
        writer.token(index)
      },
      onEnd: () => {
        this.finish(run, 'complete')
        writer.end()
      }
    }
    this.batch.add(entry)
    this.load.sample()
    res.once('close', () => {
      this.batch.remove(entry)
      this.finish(run, 'cancelled')
    })
  }

  shouldCrash (chat: ChatRequest): boolean {
    const { crashOn, coldCrashAbove: coldCrashBatchSize } = this.knobs
    if (crashOn !== '' && chat.prompt.includes(crashOn)) return true
    return coldCrashBatchSize > 0 && this.batch.coldness > 0.5 && this.activeRuns.size > coldCrashBatchSize
  }

  protected reset (): void {
    this.batch.reset()
  }
}

/**
 * Starts an engine stand-in.
 *
 * @param options - port and initial knobs
 * @returns the running engine; its commands are `cold` (cold start without interrupting requests) and `crash`
 */
export const startEngine = async (options: EngineOptions = {}): Promise<Standin<EngineKnobs>> => {
  const engine = new Engine(options.knobs ?? {})
  const server = await SwitchableServer.open((req, res) => {
    engine.handleRequest(req, res).catch((err: unknown) => { sendJson(res, 400, { error: { message: String(err) } }) })
  }, options.port ?? 0)
  engine.server = server
  return {
    url: server.url,
    knobs: () => engine.knobs,
    updateKnobs: knobs => { engine.updateKnobs(knobs) },
    facts: () => ({ ...engine.runLog.facts(), crashes: engine.crashes, running: engine.batch.size, coldness: engine.batch.coldness }),
    commands: {
      cold: () => { engine.batch.enterColdStart() },
      crash: () => { engine.crash() }
    },
    close: async () => { await engine.close() }
  }
}
