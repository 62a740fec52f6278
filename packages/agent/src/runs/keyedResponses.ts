/** Records the responses of requests with idempotency keys, so that a repeated request gets the stored response. */
import { type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { ScopedKey } from '@fuchsiaworks/policy'
import type { HandoverMessage, HeaderList, Outcome } from '@fuchsiaworks/wire'
import { MAX_STORED_RESPONSE_BYTES, type KeyService } from '../keys/keyService.js'
import { ResponseRecorder } from './responseRecorder.js'
import type { Run } from './run.js'

/**
 * Returns the idempotency key that protects a request from running twice.
 *
 * @param handover - the request
 * @returns the scoped key; undefined for requests without a key and for idempotent ones, which may repeat
 */
export const scopedKeyOf = ({ idempotent, key, service, workspace }: HandoverMessage): ScopedKey | undefined =>
  idempotent || key === undefined ? undefined : { service, workspace, key }

/** Reports the progress of keyed runs to the key service, with the response when it was small enough to record. */
export class KeyedResponses {
  readonly #recorders = new Map<Run, ResponseRecorder>()

  constructor (readonly keys: KeyService) {}

  started (run: Run): void {
    const scopedKey = scopedKeyOf(run.handover)
    if (scopedKey === undefined) return
    this.#recorders.set(run, new ResponseRecorder(MAX_STORED_RESPONSE_BYTES))
    this.keys.report({ kind: 'run-started', ...scopedKey, now: this.keys.now() })
  }

  head (run: Run, status: number, headers: HeaderList): void {
    this.#recorders.get(run)?.head(status, headers)
  }

  data (run: Run, data: Buffer): void {
    this.#recorders.get(run)?.data(data)
  }

  ended (run: Run): void {
    const scopedKey = scopedKeyOf(run.handover)
    const recorder = this.#recorders.get(run)
    if (scopedKey === undefined || recorder === undefined) return
    this.#recorders.delete(run)
    const now = this.keys.now()
    if (recorder.complete) this.keys.report({ kind: 'response-recorded', ...scopedKey, now, answer: recorder.response })
    else this.keys.report({ kind: 'run-failed', ...scopedKey, now, outcome: 'ran' })
  }

  failed (run: Run, outcome: Outcome): void {
    const scopedKey = scopedKeyOf(run.handover)
    if (scopedKey === undefined || !this.#recorders.delete(run)) return
    this.keys.report({ kind: 'run-failed', ...scopedKey, now: this.keys.now(), outcome })
  }
}

/** Service key of the keyed responses. */
export const keyedResponsesKey: ServiceKey<KeyedResponses> = serviceKey('keyed-responses')
