/** Starts a stream recorder. Entry of its own, so that the recorder loads nothing of a gateway. */
import { createLog, type RunningProcess, systemClock } from '@fuchsiaworks/kernel'
import { loadStringHash } from '@fuchsiaworks/policy'
import type { StreamRecorderSettings } from '@fuchsiaworks/settings'
import { StreamRecorder } from './streamRecorder.js'

const log = createLog('recorder')

/**
 * Starts a stream recorder.
 *
 * @param settings - settings of this host
 */
export const startStreamRecorder = async (settings: StreamRecorderSettings): Promise<RunningProcess> => {
  const recorder = new StreamRecorder(systemClock, settings, await loadStringHash())
  recorder.start()
  log.info('started', { host: settings.host, zone: settings.zone, seeds: settings.seeds.length })
  return {
    // Gateways go on without it, and what it remembers cannot be handed over.
    drain: async () => {},
    close: async () => { recorder.close() }
  }
}
