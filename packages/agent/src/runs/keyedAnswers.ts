/** Follows the runs of requests with keys, so that a caller that asks again gets the first answer. */
import { type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { ScopedKey } from '@fuchsiaworks/policy'
import type { HandoverMessage, HeaderList, Outcome } from '@fuchsiaworks/wire'
import { KEPT_ANSWER_BYTES, type KeyService } from '../keys/keyService.js'
import { AnswerRecorder } from './answerRecorder.js'
import type { Run } from './run.js'

/**
 * Tells whether a request is bound to its key.
 *
 * @param handover - the request
 * @returns the key's name; undefined for idempotent requests and those without a key
 */
export const keyNameOf = ({ idempotent, key, service, workspace }: HandoverMessage): ScopedKey | undefined =>
  idempotent || key === undefined ? undefined : { service, workspace, key }

/** Records the answers of keyed runs. */
export class KeyedAnswers {
  readonly #recorders = new Map<Run, AnswerRecorder>()

  constructor (readonly keys: KeyService) {}

  started (run: Run): void {
    const name = keyNameOf(run.handover)
    if (name === undefined) return
    this.#recorders.set(run, new AnswerRecorder(KEPT_ANSWER_BYTES))
    this.keys.report({ kind: 'run-started', ...name, now: this.keys.now() })
  }

  head (run: Run, status: number, headers: HeaderList): void {
    this.#recorders.get(run)?.head(status, headers)
  }

  data (run: Run, data: Buffer): void {
    this.#recorders.get(run)?.data(data)
  }

  ended (run: Run): void {
    const name = keyNameOf(run.handover)
    const recorder = this.#recorders.get(run)
    if (name === undefined || recorder === undefined) return
    this.#recorders.delete(run)
    const now = this.keys.now()
    if (recorder.complete) this.keys.report({ kind: 'response-recorded', ...name, now, answer: recorder.answer })
    else this.keys.report({ kind: 'run-failed', ...name, now, outcome: 'ran' })
  }

  failed (run: Run, outcome: Outcome): void {
    const name = keyNameOf(run.handover)
    if (name === undefined || !this.#recorders.delete(run)) return
    this.keys.report({ kind: 'run-failed', ...name, now: this.keys.now(), outcome })
  }
}

/** Key of the keyed answers. */
export const keyedAnswersKey: ServiceKey<KeyedAnswers> = serviceKey('keyed-answers')
