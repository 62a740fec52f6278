/** Prometheus metrics of a gateway. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Upper bounds of the latency histogram's buckets. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8]

/** Metrics of one gateway process. */
export class GatewayMetrics {
  readonly registry = new Registry()
  readonly requests = new Counter({ name: 'fuchsiaworks_requests_total', help: 'Requests by how they ended', labelNames: ['service', 'outcome'], registers: [this.registry] })
  readonly attempts = new Counter({ name: 'fuchsiaworks_attempts_total', help: 'Requests sent to upstreams by how the attempt ended', labelNames: ['service', 'outcome'], registers: [this.registry] })
  readonly unsolicitedBytes = new Counter({ name: 'fuchsiaworks_upstream_unsolicited_reads_total', help: 'Times that an upstream sent bytes which belong to no response, by whether they begin as one', labelNames: ['content'], registers: [this.registry] })
  readonly embeddedHeads = new Counter({ name: 'fuchsiaworks_embedded_response_heads_total', help: 'Heads of responses inside the body of a response, by the request that they name', labelNames: ['names'], registers: [this.registry] })
  readonly backOffs = new Counter({ name: 'fuchsiaworks_upstream_back_offs_total', help: 'Responses in which an upstream asked for no further requests', labelNames: ['service'], registers: [this.registry] })
  readonly rejectedLoads = new Counter({ name: 'fuchsiaworks_instance_load_rejected_total', help: 'Loads reported by upstreams that were ignored, by reason', labelNames: ['reason'], registers: [this.registry] })
  readonly rejectedEntries = new Counter({ name: 'fuchsiaworks_upstream_entries_rejected_total', help: 'Entries of the list of upstreams that name no upstream, by reason', labelNames: ['reason'], registers: [this.registry] })
  readonly upstreamCrashes = new Counter({ name: 'fuchsiaworks_upstream_crashes_total', help: 'Crashes of upstreams that this gateway recognized, by evidence', labelNames: ['evidence'], registers: [this.registry] })
  readonly crashReports = new Counter({ name: 'fuchsiaworks_crash_reports_received_total', help: 'Crash reports received from peer gateways', registers: [this.registry] })
  readonly crashSuspects = new Gauge({ name: 'fuchsiaworks_crash_suspects', help: 'Requests and prompt parts that are suspected of crashing upstreams', registers: [this.registry] })
  readonly streamsTakenUp = new Counter({ name: 'fuchsiaworks_streams_taken_up_total', help: 'Streams that callers took up, by where they may go on: at any upstream, only at those of one service or of one software version, at none as that version is gone or the route has moved to another service, or unknown', labelNames: ['decision'], registers: [this.registry] })
  readonly streamRecorders = new Gauge({ name: 'fuchsiaworks_stream_recorders', help: 'Stream recorders that are connected', registers: [this.registry] })
  readonly streamRecordsSent = new Counter({ name: 'fuchsiaworks_stream_records_sent_total', help: 'Records of streams that were sent to stream recorders, counted for each recorder', registers: [this.registry] })
  readonly recorderLookups = new Counter({ name: 'fuchsiaworks_stream_recorder_lookups_total', help: 'Lookups of streams at stream recorders by how they ended', labelNames: ['outcome'], registers: [this.registry] })
  readonly firstByte = new Histogram({ name: 'fuchsiaworks_first_byte_seconds', help: 'Time to the first byte of an answer', labelNames: ['service'], buckets: LATENCY_BUCKETS_S, registers: [this.registry] })
  readonly queueWaiting = new Gauge({ name: 'fuchsiaworks_queue_waiting', help: 'Requests that wait for capacity', labelNames: ['priority', 'workspace'], registers: [this.registry] })
  readonly queueBytes = new Gauge({ name: 'fuchsiaworks_queue_bytes', help: 'Bytes of the bodies of requests that wait for capacity', registers: [this.registry] })
  readonly queuePredictedWait = new Histogram({ name: 'fuchsiaworks_queue_predicted_wait_seconds', help: 'Wait that was predicted for requests that the queue took', labelNames: ['service'], buckets: LATENCY_BUCKETS_S, registers: [this.registry] })
  readonly queueWait = new Histogram({ name: 'fuchsiaworks_queue_wait_seconds', help: 'Time for which requests waited in the queue until they started', labelNames: ['service'], buckets: LATENCY_BUCKETS_S, registers: [this.registry] })
  readonly queueRefusals = new Counter({ name: 'fuchsiaworks_queue_refusals_total', help: 'Requests that the queue refused', labelNames: ['service', 'reason'], registers: [this.registry] })
  readonly retryPlaces = new Counter({ name: 'fuchsiaworks_retry_places_total', help: 'Places of callers that were sent a retry time, by how they ended', labelNames: ['event'], registers: [this.registry] })
  readonly retryPlacesHeld = new Gauge({ name: 'fuchsiaworks_retry_places', help: 'Places reserved for callers that were sent a retry time', registers: [this.registry] })
  readonly open = new Gauge({ name: 'fuchsiaworks_open_requests', help: 'Requests that have not ended', registers: [this.registry] })
  readonly peers = new Gauge({ name: 'fuchsiaworks_peers', help: 'Other routers in sight', registers: [this.registry] })
  readonly accepted = new Counter({ name: 'fuchsiaworks_connections_accepted_total', help: 'Accepted connections of callers by where they are served', labelNames: ['decision'], registers: [this.registry] })
  readonly connections = new Gauge({ name: 'fuchsiaworks_connections', help: 'Open connections of callers', registers: [this.registry] })
  readonly offloaded = new Gauge({ name: 'fuchsiaworks_connections_offloaded', help: 'Open connections of callers that peer gateways serve for this one', registers: [this.registry] })
  readonly received = new Gauge({ name: 'fuchsiaworks_connections_received', help: 'Open connections that this gateway serves for its peers', registers: [this.registry] })
  readonly eventLoopUtilization = new Gauge({ name: 'fuchsiaworks_event_loop_utilization', help: 'Share of the last second in which the event loop was busy', registers: [this.registry] })
  readonly eventLoopDelay = new Gauge({ name: 'fuchsiaworks_event_loop_delay_seconds', help: 'Largest delay of a timer in the last second', registers: [this.registry] })
  readonly unreadWait = new Histogram({ name: 'fuchsiaworks_unread_wait_seconds', help: 'Time for which requests are known to have waited before they were read', buckets: LATENCY_BUCKETS_S, registers: [this.registry] })
  readonly listenQueueWait = new Gauge({ name: 'fuchsiaworks_listen_queue_wait_seconds', help: 'Time for which a new connection waited to be accepted, measured each second', registers: [this.registry] })
  readonly revision = new Gauge({ name: 'fuchsiaworks_configuration_revision', help: 'Revision of the configuration in force', registers: [this.registry] })
  readonly zoneBytes = new Counter({ name: 'fuchsiaworks_zone_bytes_total', help: 'Bytes sent to or received from other zones, by what they were sent for', labelNames: ['cause'], registers: [this.registry] })
  readonly estimatedCapacity = new Gauge({ name: 'fuchsiaworks_estimated_capacity_tokens_per_second', help: 'Tokens that all engines together are estimated to process in a second; absent while unknown', registers: [this.registry] })
  readonly shareTokens = new Gauge({ name: 'fuchsiaworks_share_tokens_per_second', help: 'Share of a workspace in the estimated capacity; absent while the capacity is unknown', labelNames: ['workspace'], registers: [this.registry] })
  readonly servedTokens = new Gauge({ name: 'fuchsiaworks_served_tokens_per_second', help: 'Tokens of a workspace that were sent to engines by all gateways, over the window of the shares', labelNames: ['workspace'], registers: [this.registry] })
  readonly upstreams = new Gauge({ name: 'fuchsiaworks_upstreams', help: 'Registered upstreams that are not leaving', registers: [this.registry] })
}
