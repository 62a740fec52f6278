/** Base of the upstream stand-ins: runs in progress, crash and restart, refusal of connections, close. */
import type { LaggedLoad } from '../control/laggedLoad.js'
import { RunLog } from '../control/runLog.js'
import type { RequestRun } from '../control/standinTypes.js'
import type { SwitchableServer } from './switchableServer.js'

/** Knobs that all upstream stand-ins have. */
export interface CrashKnobs {
  /** Time from a crash to the restart; connections are refused meanwhile. */
  crashDown: number
  /** Refuses connections. */
  refuse: boolean
}

/** An upstream that can crash and restart with empty memory. */
export abstract class CrashableUpstream<Knobs extends CrashKnobs> {
  readonly runLog = new RunLog()
  readonly activeRuns = new Set<RequestRun>()
  abstract readonly load: LaggedLoad
  crashes = 0
  server: SwitchableServer | undefined
  #restartTimer: NodeJS.Timeout | undefined

  /** @param knobs - initial knobs */
  constructor (public knobs: Knobs) {}

  /** Clears the state that a crash loses. */
  protected abstract reset (): void

  finish (run: RequestRun, end: 'complete' | 'cancelled' | 'crashed'): void {
    this.runLog.recordEnd(run, end)
    this.activeRuns.delete(run)
    this.load.sample()
  }

  /** Resets every connection and refuses new ones for `crashDown`. */
  crash (): void {
    this.crashes += 1
    for (const run of [...this.activeRuns]) this.finish(run, 'crashed')
    this.reset()
    this.server?.takeOffline()
    clearTimeout(this.#restartTimer)
    this.#restartTimer = setTimeout(() => { this.#reopen() }, this.knobs.crashDown)
  }

  updateKnobs (knobs: Partial<Knobs>): void {
    const wasRefusing = this.knobs.refuse
    this.knobs = { ...this.knobs, ...knobs }
    if (this.knobs.refuse && !wasRefusing) this.server?.takeOffline()
    if (!this.knobs.refuse && wasRefusing) this.#reopen()
  }

  async close (): Promise<void> {
    clearTimeout(this.#restartTimer)
    this.reset()
    await this.server?.close()
  }

  #reopen (): void {
    if (!this.knobs.refuse) this.server?.listen().catch(() => {})
  }
}
