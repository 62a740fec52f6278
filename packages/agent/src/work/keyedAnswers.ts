/** Follows the runs of requests with keys, so that a caller that asks again gets the first answer. */
import { type ServiceKey, serviceKey } from '@fuchsiaworks/kernel'
import type { KeyName, KeysCommand } from '@fuchsiaworks/policy'
import type { HandoverMessage, HeaderList, Outcome } from '@fuchsiaworks/wire'
import { KEPT_ANSWER_BYTES, type KeyService } from '../keys/keyService.js'
import { AnswerRecorder } from './answerRecorder.js'
import type { Run } from './run.js'

/** Carries out what the keys policy decides for requests that waited. */
export type KeyCommandHandler = (command: KeysCommand) => void

/**
 * Tells whether a request is bound to its key.
 *
 * @param handover - the request
 * @returns the key's name; undefined for idempotent requests and those without a key
 */
export const keyNameOf = ({ idempotent, key, service, workspace }: HandoverMessage): KeyName | undefined =>
  idempotent || key === undefined ? undefined : { service, workspace, key }

/** Records the answers of keyed runs. */
export class KeyedAnswers {
  readonly #recorders = new Map<Run, AnswerRecorder>()
  #handle: KeyCommandHandler = () => {}

  constructor (readonly keys: KeyService) {}

  /** Sets who carries out commands for requests that waited for a first run. */
  onCommand (handle: KeyCommandHandler): void {
    this.#handle = handle
  }

  started (run: Run): void {
    const name = keyNameOf(run.handover)
    if (name === undefined) return
    this.#recorders.set(run, new AnswerRecorder(KEPT_ANSWER_BYTES))
    this.#run(this.keys.decide({ kind: 'run-started', ...name, now: this.keys.now() }))
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
    if (recorder.complete) this.#run(this.keys.decide({ kind: 'answer-recorded', ...name, now, answer: recorder.answer }))
    else this.#run(this.keys.decide({ kind: 'run-failed', ...name, now, outcome: 'ran' }))
  }

  failed (run: Run, outcome: Outcome): void {
    const name = keyNameOf(run.handover)
    if (name === undefined || !this.#recorders.delete(run)) return
    this.#run(this.keys.decide({ kind: 'run-failed', ...name, now: this.keys.now(), outcome }))
  }

  #run (commands: readonly KeysCommand[]): void {
    for (const command of commands) this.#handle(command)
  }
}

/** Key of the keyed answers. */
export const keyedAnswersKey: ServiceKey<KeyedAnswers> = serviceKey('keyed-answers')
