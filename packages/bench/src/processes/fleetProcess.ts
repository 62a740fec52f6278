/** A router or an agent of the bench, which can be killed, paused and started again. */
import { Child, ChildEndedError } from './child.js'
import { FLEET_ENTRY } from './paths.js'
import { waitForPort } from './waitForPort.js'

/** One process of the fleet over all its starts. */
export class FleetProcess {
  #child: Child
  #portOpen = false
  /** Times that the process ended without being asked to. */
  unexpectedExits = 0

  /**
   * @param name - host and role, for reports
   * @param role - which binary command
   * @param zone - zone of its host
   * @param settingsFile - its settings file
   * @param adminUrl - address of its administration API
   * @param port - port that is open once it serves
   */
  constructor (
    readonly name: string,
    readonly role: 'router' | 'agent',
    readonly zone: string,
    readonly settingsFile: string,
    readonly adminUrl: string,
    readonly port: number
  ) {
    this.#child = this.#start()
  }

  get pid (): number {
    return this.#child.pid
  }

  get alive (): boolean {
    return this.#child.alive
  }

  /** True while it serves and was not asked to end; a balancer sends to it then. */
  get accepting (): boolean {
    return this.alive && this.#portOpen && !this.#child.stopping
  }

  /** Last lines of output. */
  get lines (): readonly string[] {
    return this.#child.lines
  }

  /** @throws ChildEndedError when the process has ended by itself */
  assertAlive (): void {
    if (!this.alive) throw new ChildEndedError(this.name, null, this.lines)
  }

  /** Stops or continues the process. */
  signal (name: 'SIGSTOP' | 'SIGCONT'): void {
    this.#child.signal(name)
  }

  /** Ends it at once. */
  async kill (): Promise<void> {
    await this.#child.kill()
  }

  /** Asks it to shut down gracefully and waits. */
  async close (): Promise<void> {
    await this.#child.close()
  }

  /** Starts it again with the same settings and no memory. */
  restart (): void {
    if (!this.alive) this.#child = this.#start()
  }

  #start (): Child {
    const child = new Child(this.name, [FLEET_ENTRY, this.role, '--settings', this.settingsFile])
    this.#portOpen = false
    waitForPort(this.port, () => child.alive).then(open => { if (this.#child === child) this.#portOpen = open }, () => {})
    child.ended.then(() => { if (!child.stopping) this.unexpectedExits += 1 }, () => {})
    return child
  }
}
