/** Looks at whether the process can keep up with its callers. */
import { type Clock, createLog, type Millis, type Service, type Timer, type ZoneId } from '@fuchsiaworks/kernel'
import { decideOverload, initialOverloadState, type OverloadState } from '@fuchsiaworks/policy'
import type { CallerServer } from '../callers/callerServer.js'
import type { PeerMesh } from '../peers/peerMesh.js'

/** Milliseconds between two looks. */
const PERIOD_MS: Millis = 1000

const log = createLog('self-check')

/** The looks of one process. */
export class SelfCheck implements Service {
  #overload: OverloadState
  #timer: Timer | undefined

  /**
   * @param clock - source of time
   * @param zone - own availability zone
   * @param callers - says what it has read
   * @param mesh - is told what was found, and knows the others
   */
  constructor (readonly clock: Clock, readonly zone: ZoneId, readonly callers: CallerServer, readonly mesh: PeerMesh) {
    this.#overload = initialOverloadState(clock.now())
  }

  /** True while the balancer is to send new callers elsewhere. */
  get isOut (): boolean {
    return this.#overload.outUntil > 0
  }

  start (): void {
    this.#timer = this.clock.every(PERIOD_MS, () => { this.#look() })
  }

  close (): void {
    this.#timer?.close()
  }

  #look (): void {
    const wasOut = this.isOut
    const sample = this.callers.takeSample()
    const neighbours = this.mesh.neighbours().filter(({ zone }) => zone === this.zone)
    const zone = { inSight: neighbours.length, out: neighbours.filter(({ isOut }) => isOut).length }
    this.#overload = decideOverload(this.#overload, sample, zone, this.clock.now())
    this.mesh.isOut = this.isOut
    if (this.isOut === wasOut) return
    log.warn(this.isOut ? 'not ready for a while: most callers leave before they are read' : 'ready again', { ...sample, ...zone, outMs: this.#overload.nextOutMs })
    this.mesh.touch()
  }
}
