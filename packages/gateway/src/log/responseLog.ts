/** Logs what a response and its connection looked like, so that a wrong body can be traced to the bytes that an upstream sent. */
import type { LogContext, UpstreamId } from '@fuchsiaworks/kernel'
import type { EmbeddedHeadOwner } from '@fuchsiaworks/policy'
import type { EmbeddedHead, ExchangeReport, UnsolicitedBytes } from '@fuchsiaworks/upstreams'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { RequestLog } from './requestLog.js'

/** What lines are written to. */
export interface ResponseLogTarget {
  readonly metrics: GatewayMetrics
  readonly requestLog: RequestLog
}

/** @returns fields of a line about a request that was sent to an upstream; of one that was not, when there is no report */
export const exchangeFields = (report: ExchangeReport | undefined): LogContext => ({
  connection: report?.connection ?? '',
  position: report?.position ?? 0,
  delimiter: report?.delimiter ?? '',
  bodyBytes: report?.bodyBytes ?? -1,
  bytesBehind: report?.bytesBehind ?? -1,
  embeddedHeads: report?.embeddedHeads ?? 0
})

/** Logs bytes of an upstream that belong to no response. */
export const logUnsolicitedBytes = ({ metrics, requestLog }: ResponseLogTarget, upstream: UpstreamId, { connection, requests, afterMs, bytes, isResponse }: UnsolicitedBytes): void => {
  metrics.unsolicitedBytes.inc({ content: isResponse ? 'response' : 'other' })
  requestLog.write('upstream sent bytes that belong to no response', { upstream, connection, requests, afterMs: Math.round(afterMs), bytes, isResponse }, 'response')
}

/** Logs a head of a response inside the body of another one. */
export const logEmbeddedHead = ({ requestLog }: Pick<ResponseLogTarget, 'requestLog'>, request: string, upstream: UpstreamId, { status, endsAt, endedBy }: EmbeddedHead, names: EmbeddedHeadOwner, hasOwnSeal: boolean, { connection, delimiter }: ExchangeReport): void => {
  requestLog.write('response contains the head of a response', { request, upstream, connection: connection ?? '', delimiter: delimiter ?? '', status, endsAt, endedBy, names, hasOwnSeal }, 'response')
}
