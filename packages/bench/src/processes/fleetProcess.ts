/** A router or agent process of the fleet, which can be killed, paused and restarted. */
import { Child, ChildEndedError } from './child.js'
import { FLEET_ENTRY } from './paths.js'
import { waitForPort } from './waitForPort.js'

/** A router or agent process, across restarts. */
export class FleetProcess {
  #child: Child
  #portOpen = false
  /** Number of exits that the bench did not cause. */
  unexpectedExits = 0

  /**
   * @param name - role and host, for reports
   * @param role - subcommand of the program
   * @param zone - zone of the host
   * @param settingsFile - path of the settings file
   * @param adminUrl - URL of the administration API
   * @param port - port that accepts connections once the process serves
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

  /** True while the port is open and no shutdown has begun, which is when a load balancer would send requests here. */
  get accepting (): boolean {
    return this.alive && this.#portOpen && !this.#child.stopping
  }

  get lines (): readonly string[] {
    return this.#child.lines
  }

  /** @throws ChildEndedError when the process has exited */
  assertAlive (): void {
    if (!this.alive) throw new ChildEndedError(this.name, null, this.lines)
  }

  /** Pauses or resumes the process. */
  signal (name: 'SIGSTOP' | 'SIGCONT'): void {
    this.#child.signal(name)
  }

  /** Kills the process without a shutdown. */
  async kill (): Promise<void> {
    await this.#child.kill()
  }

  /** Shuts the process down gracefully and waits for the exit. */
  async close (): Promise<void> {
    await this.#child.close()
  }

  /** Starts a new process with the same settings, unless one is alive; no state in memory carries over. */
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
