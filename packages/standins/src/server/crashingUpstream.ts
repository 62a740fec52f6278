/** What the stand-ins of upstreams share: runs in progress, and ends by a crash, a refusal or a close. */
import type { LaggedLoad } from '../control/laggedLoad.js'
import { RunLog } from '../control/runLog.js'
import type { Run } from '../control/standinTypes.js'
import type { SwitchedServer } from './switchedServer.js'

/** Knobs of every upstream that can end. */
export interface CrashKnobs {
  /** Milliseconds for which a crashed upstream refuses connections. */
  crashDown: number
  /** Refuses connections. */
  refuse: boolean
}

/** An upstream that can crash and come back with nothing. */
export abstract class CrashingUpstream<Knobs extends CrashKnobs> {
  readonly log = new RunLog()
  readonly active = new Set<Run>()
  abstract readonly load: LaggedLoad
  crashes = 0
  server: SwitchedServer | undefined
  #restart: NodeJS.Timeout | undefined

  /** @param knobs - how it behaves at first */
  constructor (public knobs: Knobs) {}

  /** Forgets what an upstream holds in memory. */
  protected abstract reset (): void

  finish (run: Run, end: 'whole' | 'cancelled' | 'crashed'): void {
    this.log.end(run, end)
    this.active.delete(run)
    this.load.sample()
  }

  /** Drops every connection, and refuses new ones for a while. */
  crash (): void {
    this.crashes += 1
    for (const run of [...this.active]) this.finish(run, 'crashed')
    this.reset()
    this.server?.shut()
    clearTimeout(this.#restart)
    this.#restart = setTimeout(() => { this.#reopen() }, this.knobs.crashDown)
  }

  set (knobs: Partial<Knobs>): void {
    const refused = this.knobs.refuse
    this.knobs = { ...this.knobs, ...knobs }
    if (this.knobs.refuse && !refused) this.server?.shut()
    if (!this.knobs.refuse && refused) this.#reopen()
  }

  async close (): Promise<void> {
    clearTimeout(this.#restart)
    this.reset()
    await this.server?.close()
  }

  #reopen (): void {
    if (!this.knobs.refuse) this.server?.listen().catch(() => {})
  }
}
