/** Reported loads of all listed upstreams at one gateway. */
import type { Millis, UpstreamId } from '@fuchsiaworks/kernel'
import type { InstanceLoad, InstanceLoadRejection, InstanceProcess, SlownessReport } from './instanceLoadTypes.js'
import { InstanceRecord } from './instanceRecord.js'

/** Maximum number of reports that wait for the next state update. */
const MAX_UNSENT = 64

/** State of the policy. */
export class InstanceLoadDb {
  readonly #records = new Map<UpstreamId, InstanceRecord>()
  /** Reports for the next state update, with the time at which they were received. */
  readonly #unsent = new Map<UpstreamId, { readonly report: SlownessReport, readonly at: Millis }>()

  /** Replaces the list of upstreams. */
  setUpstreams (upstreams: readonly InstanceProcess[]): void {
    const listed = new Set(upstreams.map(({ id }) => id))
    for (const id of this.#records.keys()) if (!listed.has(id)) this.#records.delete(id)
    for (const { id, startedAt } of upstreams) {
      const known = this.#records.get(id)
      if (known === undefined) this.#records.set(id, new InstanceRecord({ id, startedAt }))
      else known.setProcess({ id, startedAt })
    }
  }

  record (id: UpstreamId): InstanceRecord | undefined {
    return this.#records.get(id)
  }

  /**
   * Records a report from a response to this gateway.
   *
   * @param process - process to which the request was sent
   * @param knownRequests - requests at the upstream as known from this gateway and its peers
   * @returns why the report is ignored; undefined when it was recorded
   */
  recordReport (process: InstanceProcess, load: InstanceLoad, knownRequests: number, now: Millis): InstanceLoadRejection | undefined {
    const record = this.#records.get(process.id)
    if (record === undefined || record.process.startedAt !== process.startedAt) return 'ended-process'
    const report = record.record(load, knownRequests, now)
    if (report !== undefined && (this.#unsent.has(process.id) || this.#unsent.size < MAX_UNSENT)) this.#unsent.set(process.id, { report, at: now })
    return undefined
  }

  /** Applies a report from a peer gateway; one of another process than the listed one is ignored. */
  applyReport (report: SlownessReport, now: Millis): void {
    const record = this.#records.get(report.upstream.id)
    if (record?.process.startedAt === report.upstream.startedAt) record?.apply(report, now)
  }

  /** @returns the reports of this gateway since the last call, to be sent to peer gateways */
  takeUnsentReports (now: Millis): SlownessReport[] {
    if (this.#unsent.size === 0) return []
    const reports = [...this.#unsent.values()].map(({ report, at }) => ({ ...report, ageMs: report.ageMs + now - at }))
    this.#unsent.clear()
    return reports
  }

  /** Records that a rejected report of an upstream is logged. */
  shouldLogRejection (id: UpstreamId): boolean {
    const record = this.#records.get(id)
    if (record === undefined || record.hasLoggedRejection) return false
    record.hasLoggedRejection = true
    return true
  }
}
