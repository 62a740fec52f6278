/** Services and state that the requests of a gateway share. */
import type { Clock, Millis, ServiceId } from '@fuchsiaworks/kernel'
import type { ColdPaceDb, CrashSuspectDb, LeavingDb, PlacementDb, RequestLimitDb, RetryBudget, StreamVersionDb, StringHash, TokenShareDb } from '@fuchsiaworks/policy'
import type { GatewayMetrics } from '../log/gatewayMetrics.js'
import type { ZoneBytes } from '../log/zoneBytes.js'
import type { RequestLog } from '../log/requestLog.js'
import type { PeerMesh } from '../peers/peerMesh.js'
import type { FleetPort } from '../port/fleetPort.js'
import type { GatewaySettings } from '@fuchsiaworks/settings'
import type { HeaderPort } from '../port/headerPort.js'
import type { RecentRoutes } from '../routing/recentRoutes.js'
import type { ReachabilityCheck } from '../upstreams/reachabilityCheck.js'
import type { UpstreamClients } from '../upstreams/upstreamClients.js'
import type { RecorderLinks } from '../streamRecorder/recorderLinks.js'
import type { RequestQueue } from './requestQueue.js'
import type { StreamVersionLookup } from './streamVersionLookup.js'

/** Shared services and state of one process. */
export interface FlowContext {
  readonly settings: GatewaySettings
  readonly clock: Clock
  readonly random: () => number
  readonly hash: StringHash
  readonly fleet: FleetPort
  readonly headers: HeaderPort
  readonly clients: UpstreamClients
  readonly reachability: ReachabilityCheck
  readonly placement: PlacementDb
  readonly shares: TokenShareDb
  readonly crashSuspects: CrashSuspectDb
  readonly leaving: LeavingDb
  readonly requestLimits: RequestLimitDb
  readonly streamVersions: StreamVersionDb
  readonly streamVersionLookup: StreamVersionLookup
  readonly recentRoutes: RecentRoutes
  readonly recorders: RecorderLinks
  readonly coldPace: ColdPaceDb
  readonly retries: RetryBudget
  readonly mesh: PeerMesh
  /** Undefined without the setting `queue`. */
  readonly queue: RequestQueue | undefined
  /** Lowest latency target among the routes to each service. */
  minTargetMsByService: ReadonlyMap<ServiceId, Millis>
  readonly metrics: GatewayMetrics
  readonly zoneBytes: ZoneBytes
  readonly requestLog: RequestLog
}
