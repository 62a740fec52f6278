/** A gateway as a child process that can be signalled and started again on the same addresses. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Child } from '@fuchsiaworks/bench'
import { findStablePort } from './stablePorts.js'
import { BOUNDS } from '../invariants/bounds.js'

const ROOT = fileURLToPath(new URL('../../..', import.meta.url))

/** The bundled program; `scripts/bundle.mjs` writes it. */
const PROGRAM = join(ROOT, 'target/fuchsiaworks.js')

/** Makes the wall clock of the process leap on a signal. */
const CLOCK_JUMP_MODULE = fileURLToPath(new URL('./clockJump.js', import.meta.url))

/** Signal at which the wall clock leaps. */
export const CLOCK_JUMP_SIGNAL = 'SIGUSR2'

/** Lines of output that are kept to explain a broken promise. */
const MAX_OUTPUT_LINES = 6000

/** Milliseconds beyond the grace time after which a process is killed. */
const KILL_MARGIN_MS = 500

/** Ports of a gateway. */
export interface GatewayPorts {
  readonly callers: number
  readonly ready: number
  readonly peers: number
}

/** Ways that lead to a gateway's surroundings. */
export interface GatewayAddresses {
  readonly storeAddress: string
  readonly advertisedAddress: string
  readonly seedAddresses: readonly string[]
}

/** @returns ports for a gateway */
export const findGatewayPorts = async (): Promise<GatewayPorts> =>
  ({ callers: await findStablePort(), ready: await findStablePort(), peers: await findStablePort() })

/** One gateway. */
export class GatewayProcess {
  readonly #settingsFile: string
  #child: Child | undefined
  /** Counts its starts. */
  incarnation = 0
  /** Ends of processes that nobody asked for, in words. */
  readonly unexpectedExits: string[] = []
  readonly #earlierOutput: string[] = []

  /**
   * @param folder - for the settings file
   * @param index - its number
   * @param zone - its availability zone
   * @param ports - where it listens
   * @param addresses - where it finds the others
   */
  constructor (folder: string, readonly index: number, zone: string, readonly ports: GatewayPorts, addresses: GatewayAddresses) {
    this.#settingsFile = join(folder, `gateway-${index}.jsonc`)
    const loopbackAddress = (port: number): string => `127.0.0.1:${port}`
    writeFileSync(this.#settingsFile, JSON.stringify({
      role: 'gateway',
      host: `host-${index}`,
      zone,
      callers: loopbackAddress(ports.callers),
      ready: loopbackAddress(ports.ready),
      peers: loopbackAddress(ports.peers),
      peersAdvertised: addresses.advertisedAddress,
      seeds: addresses.seedAddresses,
      source: addresses.storeAddress,
      graceSeconds: BOUNDS.gracePeriodMs / 1000,
      revokeMs: BOUNDS.revokeMs,
      retryRatio: BOUNDS.retryRatio
    }))
  }

  get isAlive (): boolean {
    return this.#child?.alive === true
  }

  /** @returns output lines of all its lives */
  get output (): readonly string[] {
    return [...this.#earlierOutput, ...this.#child?.lines ?? []]
  }

  start (): void {
    this.#saveOutput()
    this.incarnation += 1
    const child = new Child(`gateway ${this.index}`, ['--import', CLOCK_JUMP_MODULE, PROGRAM, 'gateway', '--settings', this.#settingsFile], MAX_OUTPUT_LINES)
    this.#child = child
    const { incarnation } = this
    child.ended.then(code => {
      if (!child.stopping) this.unexpectedExits.push(`gateway ${this.index} ended by itself in incarnation ${incarnation} with ${code ?? 'a signal'}: ${child.lines.slice(-3).join(' | ')}`)
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
    const timer = setTimeout(() => { child.signal('SIGKILL') }, BOUNDS.gracePeriodMs + KILL_MARGIN_MS)
    await child.ended
    clearTimeout(timer)
  }

  #saveOutput (): void {
    this.#earlierOutput.push(...this.#child?.lines ?? [])
    this.#earlierOutput.splice(0, Math.max(0, this.#earlierOutput.length - MAX_OUTPUT_LINES))
  }
}
