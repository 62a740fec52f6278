/** Log and metric of crashes of upstreams. */
import type { RecognizedCrash } from '@fuchsiaworks/policy'
import type { FlowContext } from './flowContext.js'

/** What showed, after connections had broken, that their upstream has crashed. */
export type CrashEvidence = 'unreachable' | 'unlisted' | 'peer-report'

/** Logs and counts a crash. */
export const logCrash = ({ metrics, requestLog }: Pick<FlowContext, 'metrics' | 'requestLog'>, upstream: string, evidence: CrashEvidence, crash: RecognizedCrash): void => {
  metrics.upstreamCrashes.inc({ evidence })
  requestLog.write('upstream crashed', { upstream, evidence, ...crash, ageMs: Math.round(crash.ageMs) })
}
