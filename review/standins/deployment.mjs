/** A small deployment on loopback: the store, workers as processes, and gateways started with the commands of the deploy file. */
import { fork, spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, get, request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Store } from './store.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const REPOSITORY = join(FOLDER, '..', '..')

/** Bounds of the small deployments. */
export const BOUNDS = { contactMs: 3000, configMs: 2000, graceSeconds: 8, revokeMs: 5000 }

export const sleep = async ms => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

const reserved = new Set()

/** A free port below the range from which the system takes ports by itself, so that nothing else gets it before the gateway listens. */
export const freePort = async host => {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 10_000)
    if (reserved.has(port)) continue
    reserved.add(port)
    const isFree = await new Promise(resolve => {
      const server = createServer()
      server.on('error', () => { resolve(false) })
      server.listen(port, host, () => { server.close(() => { resolve(true) }) })
    })
    if (isFree) return port
  }
}

/** Words of the command with which the deploy file starts a role. */
const commandOf = role => {
  const section = readFileSync(join(REPOSITORY, 'deploy', 'system.toml'), 'utf8').split(`[roles.${role}]`)[1]
  return /^run = "(.*)"$/m.exec(section)[1].split(' ')
}

export class Deployment {
  store = new Store()
  workers = []
  gateways = []
  recorders = []
  /** What workers ran: `{ worker, version, attempt, path, lastEventId, at }`. */
  runs = []
  /** Other messages of workers. */
  notes = []
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #record

  /** @param recordPath - file for what was sent, answered and run */
  constructor (recordPath) {
    this.#record = createWriteStream(recordPath)
  }

  record (line) {
    this.#record.write(`${line}\n`)
  }

  async startWorker ({ service, zone, id, version = 'v1', slots = 64, workMs = 50, events = 0, eventMs = 50, coldMs = 0, text = version, host }) {
    const child = fork(join(FOLDER, 'worker.mjs'), [JSON.stringify({ host, id, version, text, workMs, events, eventMs })])
    const worker = { id, child, entry: undefined }
    this.workers.push(worker)
    await new Promise(resolve => {
      child.on('message', message => {
        if (message.kind === 'run') {
          this.runs.push(message)
          this.record(`${message.at} run ${message.attempt} at ${message.worker} ${message.version} ${message.path} after-event ${message.lastEventId}`)
        } else this.notes.push(message)
        if (message.kind !== 'listening') return
        worker.entry = { service, address: message.address, zone, version, slots, state: 'ready', cold_remaining_ms: coldMs, stage: 'prefill_decode', models: [{ name: 'm', version: 1, adapters: [] }], seq: 1, born: Date.now() }
        this.store.put(`servers/${id}`, worker.entry)
        resolve()
      })
    })
    return worker
  }

  /** Chooses addresses for gateways, each on a loopback address of its own. */
  async planGateways (count) {
    for (let nth = 1; nth <= count; nth++) {
      // Scripts that run at the same time take no ports from each other.
      const host = `127.${1 + process.pid % 250}.7.${nth}`
      const [callers, ready, peers, metrics] = [await freePort(host), await freePort(host), await freePort(host), await freePort(host)]
      this.gateways.push({ nth, host, zone: nth % 2 === 1 ? 'zone-a' : 'zone-b', callers: { host, port: callers }, ready: `${host}:${ready}`, peers: `${host}:${peers}`, metrics, child: undefined, errors: '', exits: 0 })
    }
  }

  startGateway (gateway) {
    const { host, nth, zone, callers, ready, peers, metrics } = gateway
    const path = join(this.#folder, `gateway-${nth}.jsonc`)
    // As `deploy/gateway.jsonc` renders it.
    writeFileSync(path, JSON.stringify({
      role: 'gateway',
      host: `front-${nth}`,
      zone,
      callers: `${host}:${callers.port}`,
      ready,
      peers,
      ...gateway.advertised === undefined ? {} : { peersAdvertised: gateway.advertised },
      seeds: this.gateways.slice(0, 3).map(one => one.advertised ?? one.peers),
      revokeMs: BOUNDS.revokeMs,
      graceSeconds: BOUNDS.graceSeconds,
      shareWindowSeconds: 4,
      retryRatio: 0.2,
      maxDescriptors: 4100,
      streamRecorders: true,
      source: this.store.address
    }))
    const [program, ...words] = commandOf('gateway').map(word => word === '9464/metrics' ? `${metrics}/metrics` : word)
    gateway.logPath = join(this.#folder, `gateway-${nth}.log`)
    const log = createWriteStream(gateway.logPath, { flags: 'a' })
    const child = spawn(program, words, { cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: this.#folder, FUCHSIAWORKS_NODE_FILE: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    child.stderr.on('data', text => { gateway.errors = `${gateway.errors}${text}`.slice(-2000) })
    gateway.child = child
    gateway.startedAt = Date.now()
    child.on('exit', (code, signal) => {
      gateway.exits += 1
      this.record(`${Date.now()} gateway ${nth} ended code=${code} signal=${signal}`)
    })
  }

  /** Starts the process beside each worker. */
  startRecorders () {
    for (const [nth, { entry }] of this.workers.entries()) {
      const path = join(this.#folder, `recorder-${nth}.jsonc`)
      // As `deploy/stream-recorder.jsonc` renders it.
      writeFileSync(path, JSON.stringify({ role: 'stream-recorder', host: `side-${nth}`, zone: entry.zone, seeds: this.gateways.slice(0, 3).map(one => one.peers) }))
      const [program, ...words] = commandOf('stream-recorder')
      this.recorders.push({ child: spawn(program, words, { cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: this.#folder, FUCHSIAWORKS_NODE_FILE: path }, stdio: 'ignore' }) })
    }
  }

  async isReady ({ ready }) {
    return await new Promise(resolve => {
      const req = get(`http://${ready}/fuchsiaworks/ready`, { agent: false, timeout: 8000 }, res => {
        res.resume()
        resolve(res.statusCode === 200)
      })
      req.on('timeout', () => { req.destroy() })
      req.on('error', () => { resolve(false) })
    })
  }

  async waitReady (gateway) {
    for (let tries = 0; tries < 150; tries++) {
      if (await this.isReady(gateway)) return
      await sleep(100)
    }
    throw new Error(`gateway ${gateway.nth} is not ready`)
  }

  async close () {
    const ended = [...this.gateways, ...this.recorders, ...this.workers].map(({ child }) => child).filter(child => child !== undefined && child.exitCode === null && child.signalCode === null)
    await Promise.all(ended.map(async child => {
      const exit = new Promise(resolve => { child.once('exit', resolve) })
      child.kill('SIGKILL')
      await exit
    }))
    this.store.close()
    await new Promise(resolve => { this.#record.end(resolve) })
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

let attempts = 0
export const newAttemptId = () => `a${process.pid.toString(16)}${(attempts += 1).toString(16).padStart(8, '0')}`

export const keepAliveAgent = () => new Agent({ keepAlive: true, maxSockets: Infinity, keepAliveMsecs: 60_000 })

/**
 * Sends one client attempt and waits for its end, or until its deadline.
 *
 * @returns `{ attempt, sentAt, endedAt, status, headers, body, isKept, end }`; `isKept` tells whether its connection had carried a request before; `end` is `complete`, `broken`, `no-answer` or `deadline`
 */
export const send = async (gateway, { host = 'review.example', method, path, headers = {}, body = '', deadlineMs, agent }) => await new Promise(resolve => {
  const attempt = newAttemptId()
  const result = { attempt, path, gateway: gateway.nth, sentAt: Date.now(), endedAt: 0, status: 0, headers: {}, body: '', isKept: false, end: '' }
  const finish = end => {
    if (result.end !== '') return
    clearTimeout(timer)
    result.isKept = req.reusedSocket
    result.end = end
    result.endedAt = Date.now()
    resolve(result)
  }
  const req = request({ ...gateway.callers, method, path, agent, headers: { Host: host, 'X-Attempt-Id': attempt, 'X-Deadline-Ms': deadlineMs, 'Content-Length': Buffer.byteLength(body), ...headers } }, res => {
    result.status = res.statusCode
    result.headers = res.headers
    res.setEncoding('latin1')
    res.on('data', text => { result.body += text })
    res.on('end', () => { finish(res.complete ? 'complete' : 'broken') })
    res.on('error', () => { finish('broken') })
  })
  const timer = setTimeout(() => {
    finish('deadline')
    req.destroy()
  }, deadlineMs)
  req.on('error', () => { finish(result.status === 0 ? 'no-answer' : 'broken') })
  req.end(body)
})
