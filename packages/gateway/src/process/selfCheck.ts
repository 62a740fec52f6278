/** Detects overload of the process and takes it out of the load balancer's rotation for a while. */
import { type Clock, createLog, type ZoneId } from '@fuchsiaworks/kernel'
import { decideOverload, initialOverloadState, type OverloadState } from '@fuchsiaworks/policy'
import type { CallerServer } from '../callers/callerServer.js'
import type { PeerMesh } from '../peers/peerMesh.js'
import type { LoadSample } from './loadMonitor.js'

const log = createLog('self-check')

/** Decides from samples of the load whether the process is overloaded. */
export class SelfCheck {
  #overload: OverloadState

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
    return this.#overload.outSince !== undefined
  }

  /** Applies a sample. */
  check ({ listenQueueWaitMs, acceptedPerSecond }: LoadSample): void {
    const wasOutOfRotation = this.isOutOfRotation
    const sample = { listenQueueWaitMs: Math.round(listenQueueWaitMs), acceptedPerSecond, ...this.callerServer.takeSample() }
    const peersInZone = this.mesh.reachablePeers().filter(({ zone }) => zone === this.zone)
    const zoneReadiness = {
      inSight: peersInZone.length,
      out: peersInZone.filter(({ isOutOfRotation }) => isOutOfRotation).length,
      maxAccepted: Math.max(0, ...peersInZone.map(peer => peer.acceptedPerSecond)),
      maxUtilization: Math.max(0, ...peersInZone.map(({ utilization }) => utilization ?? 0))
    }
    this.#overload = decideOverload(this.#overload, sample, zoneReadiness, this.clock.now())
    this.mesh.acceptedPerSecond = acceptedPerSecond
    this.mesh.isOutOfRotation = this.isOutOfRotation
    if (this.isOutOfRotation === wasOutOfRotation) return
    log.warn(this.isOutOfRotation ? 'overloaded: reporting not ready, as callers give up before they are served' : 'overload ended: reporting ready', { ...sample, ...zoneReadiness })
    this.mesh.scheduleUpdate()
  }
}
