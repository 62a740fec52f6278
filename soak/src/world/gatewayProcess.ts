/** A gateway as a child process that can be signalled, and restarted on the same addresses. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Child } from '@fuchsiaworks/bench'
import { findStablePort } from '@fuchsiaworks/standins'
import { BOUNDS } from '../invariants/bounds.js'

const ROOT = fileURLToPath(new URL('../../..', import.meta.url))

/** The bundled program; `scripts/bundle.mjs` writes it. */
export const BUNDLED_PROGRAM = join(ROOT, 'target/fuchsiaworks.js')

/** The program as compiled, for specs that run before there is a bundle. */
export const COMPILED_PROGRAM = join(ROOT, 'platform/dist/main.js')

/** Preloaded module that makes the wall clock of the process jump on a signal. */
const CLOCK_JUMP_MODULE = fileURLToPath(new URL('./clockJump.js', import.meta.url))

/** Signal on which the wall clock jumps. */
export const CLOCK_JUMP_SIGNAL = 'SIGUSR2'

/** Output lines kept to explain a violation. */
const MAX_OUTPUT_LINES = 6000

/** Time beyond the grace period after which a process is killed. */
const KILL_MARGIN_MS = 500

/** Ports of a gateway. */
export interface GatewayPorts {
  readonly callers: number
  readonly ready: number
  readonly peers: number
}

/** Addresses through which a gateway reaches the store and its peers, and through which peers reach it. */
export interface GatewayAddresses {
  readonly storeAddress: string
  readonly advertisedAddress: string
  readonly seedAddresses: readonly string[]
}

/** @returns free ports for a gateway */
export const findGatewayPorts = async (): Promise<GatewayPorts> =>
  ({ callers: await findStablePort(), ready: await findStablePort(), peers: await findStablePort() })

/** A gateway process over all its restarts. */
export class GatewayProcess {
  readonly #settingsFile: string
  #child: Child | undefined
  /** Number of starts. */
  incarnation = 0
  /** Descriptions of exits that the soak did not cause. */
  readonly unexpectedExits: string[] = []
  readonly #earlierOutput: string[] = []
  /** Why the process is stopped at the moment; it runs while there is no reason. */
  readonly #stopReasons = new Set<string>()

  /**
   * @param folder - folder for the settings file
   * @param index - index in the fleet
   * @param zone - availability zone
   * @param ports - ports to listen on
   * @param addresses - addresses of the store and of peers
   * @param program - script to run
   */
  constructor (folder: string, readonly index: number, zone: string, readonly ports: GatewayPorts, addresses: GatewayAddresses, readonly program: string) {
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
      retryRatio: BOUNDS.retryRatio,
      streamRecorders: true
    }))
  }

  get isAlive (): boolean {
    return this.#child?.alive === true
  }

  /** Id of the running process; 0 before the first start. */
  get pid (): number {
    return this.#child?.pid ?? 0
  }

  /** Output lines of all incarnations, oldest first. */
  get output (): readonly string[] {
    return [...this.#earlierOutput, ...this.#child?.lines ?? []]
  }

  start (): void {
    this.#saveOutput()
    this.incarnation += 1
    const child = new Child(`gateway ${this.index}`, ['--import', CLOCK_JUMP_MODULE, this.program, 'gateway', '--settings', this.#settingsFile], MAX_OUTPUT_LINES)
    this.#child = child
    const { incarnation } = this
    child.ended.then(code => {
      if (!child.stopping) this.unexpectedExits.push(`gateway ${this.index} exited unexpectedly in incarnation ${incarnation} with ${code ?? 'a signal'}: ${child.lines.slice(-3).join(' | ')}`)
    }, () => {})
  }

  signal (name: NodeJS.Signals): void {
    this.#child?.signal(name)
  }

  /** Stops the process by SIGSTOP until it is continued for the same reason. */
  suspend (reason: string): void {
    this.#stopReasons.add(reason)
    this.signal('SIGSTOP')
  }

  /** Ends a suspension; the process runs once there is no other reason to suspend it. */
  resume (reason: string): void {
    this.#stopReasons.delete(reason)
    if (this.#stopReasons.size === 0) this.signal('SIGCONT')
  }

  async kill (): Promise<void> {
    await this.#child?.kill()
  }

  /** Sends SIGTERM, and kills the process when its grace period is over. */
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
