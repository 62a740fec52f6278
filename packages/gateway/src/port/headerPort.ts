/** What the gateway asks of an adapter that knows the names of headers. */
import type { Id, Millis, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { PromptPart } from '@fuchsiaworks/policy'
import type { HeaderList } from '@fuchsiaworks/wire'

/** Names one try of a caller; each try has its own. */
export type CallerAttemptId = Id<'attempt'>

/** Size and shared parts of a prompt. */
export interface PromptMetadata {
  readonly promptTokens: number
  readonly maxOutputTokens: number
  /** The caller's estimate of the output tokens, right at the median and often far off; undefined when it gives none. */
  readonly expectedOutputTokens: number | undefined
  /** Parts in order; the last belongs to the request or its session alone. */
  readonly parts: readonly PromptPart[]
}

/** What the headers of a caller's request say. */
export interface CallerHead {
  readonly attempt: CallerAttemptId
  /** Milliseconds that the caller waits; undefined when it does not say. */
  readonly deadlineMs: Millis | undefined
  readonly key: string | undefined
  /** Last event that the caller has of a stream that it resumes. */
  readonly lastEventId: number | undefined
  readonly prompt: PromptMetadata | undefined
}

/** What a router adds to a request on its way to an upstream. */
export interface UpstreamRequestContext {
  readonly upstream: UpstreamId
  readonly deadlineMs: Millis
  readonly workspace: WorkspaceId | undefined
  /** Last event that the caller has, when the stream is continued. */
  readonly lastEventId: number | undefined
  /** Address of an upstream from which to copy what it keeps of the prompt. */
  readonly copyFrom: string | undefined
}

/** What the head of an upstream's answer says. */
export interface ResponseHead {
  /** The try that is answered; undefined when the upstream does not say. */
  readonly attempt: string | undefined
  /** True when the upstream vouches for the answer. */
  readonly isSealed: boolean
  /** True when the upstream says that it has not run the request. */
  readonly isNotExecuted: boolean
  /** True when the body is encoded, which no caller asked for. */
  readonly isEncoded: boolean
}

/** Translates headers. */
export interface HeaderPort {
  /**
   * Reads the headers of a caller.
   *
   * @returns undefined when they are malformed or name no single try
   */
  decodeCallerHead: (headers: HeaderList) => CallerHead | undefined
  /** Chooses and adds the headers that an upstream receives. */
  encodeUpstreamHeaders: (headers: HeaderList, call: UpstreamRequestContext) => HeaderList
  /** Reads the head of an answer. */
  decodeResponseHead: (status: number, headers: HeaderList) => ResponseHead
  /** @returns headers of a refusal that tell when to come back */
  encodeRetryAfter: (returnMs: Millis) => HeaderList
}
