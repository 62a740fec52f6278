/** A gateway as a child process that can be signalled and started again on the same addresses. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Child } from '@fuchsiaworks/bench'
import { findLastingPort } from './lastingPorts.js'
import { BOUNDS } from '../promises/bounds.js'

const ROOT = fileURLToPath(new URL('../../..', import.meta.url))

/** The bundled program; `scripts/bundle.mjs` writes it. */
const PROGRAM = join(ROOT, 'target/fuchsiaworks.js')

/** Makes the wall clock of the process leap on a signal. */
const CLOCK_LEAP = fileURLToPath(new URL('./clockLeap.js', import.meta.url))

/** Signal at which the wall clock leaps. */
export const LEAP_SIGNAL = 'SIGUSR2'

/** Lines of output that are kept to explain a broken promise. */
const KEPT_LINES = 6000

/** Milliseconds beyond the grace time after which a process is killed. */
const KILL_MARGIN_MS = 500

/** Ports of a gateway. */
export interface GatewayPorts {
  readonly callers: number
  readonly ready: number
  readonly peers: number
}

/** Ways that lead to a gateway's surroundings. */
export interface GatewayLinks {
  readonly source: string
  readonly advertised: string
  readonly seeds: readonly string[]
}

/** @returns ports for a gateway */
export const findGatewayPorts = async (): Promise<GatewayPorts> =>
  ({ callers: await findLastingPort(), ready: await findLastingPort(), peers: await findLastingPort() })

/** One gateway. */
export class GatewayProcess {
  readonly #file: string
  #child: Child | undefined
  /** Counts its starts. */
  life = 0
  /** Ends of processes that nobody asked for, in words. */
  readonly unexpectedEnds: string[] = []
  readonly #lines: string[] = []

  /**
   * @param folder - for the settings file
   * @param index - its number
   * @param zone - its availability zone
   * @param ports - where it listens
   * @param links - where it finds the others
   */
  constructor (folder: string, readonly index: number, zone: string, readonly ports: GatewayPorts, links: GatewayLinks) {
    this.#file = join(folder, `gateway-${index}.jsonc`)
    const at = (port: number): string => `127.0.0.1:${port}`
    writeFileSync(this.#file, JSON.stringify({
      role: 'gateway',
      host: `host-${index}`,
      zone,
      callers: at(ports.callers),
      ready: at(ports.ready),
      peers: at(ports.peers),
      peersAdvertised: links.advertised,
      seeds: links.seeds,
      source: links.source,
      graceSeconds: BOUNDS.graceMs / 1000,
      revokeMs: BOUNDS.revokeMs,
      retryRatio: BOUNDS.retryRatio
    }))
  }

  get isAlive (): boolean {
    return this.#child?.alive === true
  }

  /** @returns output lines of all its lives */
  get lines (): readonly string[] {
    return [...this.#lines, ...this.#child?.lines ?? []]
  }

  start (): void {
    this.#keepLines()
    this.life += 1
    const child = new Child(`gateway ${this.index}`, ['--import', CLOCK_LEAP, PROGRAM, 'gateway', '--settings', this.#file], KEPT_LINES)
    this.#child = child
    const { life } = this
    child.ended.then(code => {
      if (!child.stopping) this.unexpectedEnds.push(`gateway ${this.index} ended by itself in life ${life} with ${code ?? 'a signal'}: ${child.lines.slice(-3).join(' | ')}`)
    }, () => {})
  }

  signal (name: NodeJS.Signals): void {
    this.#child?.signal(name)
  }

  async kill (): Promise<void> {
    await this.#child?.kill()
  }

  /** Asks it to end, and kills it when its grace time is over. */
  async stop (): Promise<void> {
    const child = this.#child
    if (child === undefined) return
    child.stopping = true
    child.signal('SIGTERM')
    const timer = setTimeout(() => { child.signal('SIGKILL') }, BOUNDS.graceMs + KILL_MARGIN_MS)
    await child.ended
    clearTimeout(timer)
  }

  #keepLines (): void {
    this.#lines.push(...this.#child?.lines ?? [])
    this.#lines.splice(0, Math.max(0, this.#lines.length - KEPT_LINES))
  }
}
