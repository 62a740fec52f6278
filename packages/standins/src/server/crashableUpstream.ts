/** What the stand-ins of upstreams share: runs in progress, and ends by a crash, a refusal or a close. */
import type { LaggedLoad } from '../control/laggedLoad.js'
import { RunLog } from '../control/runLog.js'
import type { Run } from '../control/standinTypes.js'
import type { SwitchableServer } from './switchableServer.js'

/** Knobs of every upstream that can end. */
export interface CrashKnobs {
  /** Milliseconds for which a crashed upstream refuses connections. */
  crashDowntimeMs: number
  /** Refuses connections. */
  refuse: boolean
}

/** An upstream that can crash and come back with nothing. */
export abstract class CrashableUpstream<Knobs extends CrashKnobs> {
  readonly runLog = new RunLog()
  readonly activeRuns = new Set<Run>()
  abstract readonly load: LaggedLoad
  crashes = 0
  server: SwitchableServer | undefined
  #restartTimer: NodeJS.Timeout | undefined

  /** @param knobs - how it behaves at first */
  constructor (public knobs: Knobs) {}

  /** Forgets what an upstream holds in memory. */
  protected abstract reset (): void

  finish (run: Run, end: 'complete' | 'cancelled' | 'crashed'): void {
    this.runLog.recordEnd(run, end)
    this.activeRuns.delete(run)
    this.load.sample()
  }

  /** Drops every connection, and refuses new ones for a while. */
  crash (): void {
    this.crashes += 1
    for (const run of [...this.activeRuns]) this.finish(run, 'crashed')
    this.reset()
    this.server?.takeOffline()
    clearTimeout(this.#restartTimer)
    this.#restartTimer = setTimeout(() => { this.#reopen() }, this.knobs.crashDowntimeMs)
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
