/** Detects overload of the process and takes it out of the load balancer's rotation for a while. */
import { type Clock, createLog, type Millis, type Service, type Timer, type ZoneId } from '@fuchsiaworks/kernel'
import { decideOverload, initialOverloadState, type OverloadState } from '@fuchsiaworks/policy'
import type { CallerServer } from '../callers/callerServer.js'
import type { PeerMesh } from '../peers/peerMesh.js'

const CHECK_INTERVAL_MS: Millis = 1000

const log = createLog('self-check')

/** Checks periodically whether the process is overloaded. */
export class SelfCheck implements Service {
  #overload: OverloadState
  #timer: Timer | undefined

  /**
   * @param clock - source of time
   * @param zone - own availability zone
   * @param callerServer - supplies how many requests were read and how many of them had been abandoned
   * @param mesh - sends the readiness of this gateway to its peers and supplies that of the peers
   */
  constructor (readonly clock: Clock, readonly zone: ZoneId, readonly callerServer: CallerServer, readonly mesh: PeerMesh) {
    this.#overload = initialOverloadState(clock.now())
  }

  /** True while the load balancer should send new callers to other gateways. */
  get isOutOfRotation (): boolean {
    return this.#overload.outUntil > 0
  }

  start (): void {
    this.#timer = this.clock.every(CHECK_INTERVAL_MS, () => { this.#check() })
  }

  close (): void {
    this.#timer?.close()
  }

  #check (): void {
    const wasOutOfRotation = this.isOutOfRotation
    const sample = this.callerServer.takeSample()
    const peersInZone = this.mesh.reachablePeers().filter(({ zone }) => zone === this.zone)
    const zoneReadiness = { inSight: peersInZone.length, out: peersInZone.filter(({ isOutOfRotation }) => isOutOfRotation).length }
    this.#overload = decideOverload(this.#overload, sample, zoneReadiness, this.clock.now())
    this.mesh.isOutOfRotation = this.isOutOfRotation
    if (this.isOutOfRotation === wasOutOfRotation) return
    log.warn(this.isOutOfRotation ? 'overloaded: reporting not ready, as most callers disconnect before their requests are read' : 'overload ended: reporting ready', { ...sample, ...zoneReadiness, outMs: this.#overload.nextOutMs })
    this.mesh.scheduleUpdate()
  }
}
