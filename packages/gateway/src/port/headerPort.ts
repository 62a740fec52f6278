/** Port to the codec for platform-specific headers; implemented by a platform adapter. */
import type { Id, Millis, UpstreamId, WorkspaceId } from '@fuchsiaworks/kernel'
import type { InstanceLoad, InstanceLoadProblem, PromptPart } from '@fuchsiaworks/policy'
import type { HeaderList } from '@fuchsiaworks/wire'

/** Id that a caller gives to each attempt of a request; not to be confused with the gateway's attempts at upstreams. */
export type CallerAttemptId = Id<'attempt'>

/** Size of a prompt and its parts for prefix caching. */
export interface PromptMetadata {
  readonly promptTokens: number
  readonly maxOutputTokens: number
  /** The caller's estimate of the output tokens: accurate at the median, often far off; undefined when not given. */
  readonly expectedOutputTokens: number | undefined
  /** Parts in order; the last is specific to the request or its session. */
  readonly parts: readonly PromptPart[]
}

/** Decoded headers of a caller's request. */
export interface CallerHead {
  readonly attempt: CallerAttemptId
  /** Time that the caller waits for the response; undefined when not given. */
  readonly deadlineMs: Millis | undefined
  /** API key. */
  readonly key: string | undefined
  /** Id of the last event that the caller received, when it resumes a stream. */
  readonly lastEventId: number | undefined
  /** Attempt that brought the first event of the stream that the caller resumes; undefined when not given. */
  readonly resumes: CallerAttemptId | undefined
  readonly prompt: PromptMetadata | undefined
}

/** Values that the gateway adds to the headers of a request to an upstream. */
export interface UpstreamRequestContext {
  readonly upstream: UpstreamId
  readonly deadlineMs: Millis
  readonly workspace: WorkspaceId | undefined
  /** Id of the last event that the caller received, when a stream is resumed. */
  readonly lastEventId: number | undefined
  /** Address of an upstream from which to copy cached prompt parts. */
  readonly copyFrom: string | undefined
}

/** Decoded headers of an upstream's response. */
export interface ResponseHead {
  /** The caller's attempt id as repeated by the upstream; undefined when missing, and equal to none when the response names several. */
  readonly attempt: string | undefined
  /** The upstream's seal; undefined when missing, and then a successful response is not forwarded. It is compared, never read. */
  readonly seal: string | undefined
  /** True when the upstream reports that it has not executed the request. */
  readonly isNotExecuted: boolean
  /** True when the body has a content encoding, which no caller requested. */
  readonly isEncoded: boolean
  /** True when the upstream announces its shutdown. */
  readonly isLeaving: boolean
  /** Time for which the upstream asks for no further requests of this gateway; undefined when it does not. */
  readonly retryAfterMs: Millis | undefined
  /** Requests a second that the upstream takes from all gateways together; undefined when it sets no limit. */
  readonly requestLimit: number | undefined
  /** Load that the upstream reports of itself; undefined when it reports none, or none that can be read. */
  readonly instanceLoad?: InstanceLoad | undefined
  /** Why the reported load cannot be read. */
  readonly instanceLoadProblem?: InstanceLoadProblem | undefined
}

/** Decodes and encodes headers. */
export interface HeaderPort {
  /** Names of headers that an upstream may repeat as the first line of an event of a stream, in lower case; their values are integers. */
  readonly eventHeaders: ReadonlySet<string>
  /**
   * Decodes the headers of a caller's request.
   *
   * @returns undefined when they are malformed or don't contain exactly one attempt id
   */
  decodeCallerHead: (headers: HeaderList) => CallerHead | undefined
  /** Selects the headers to forward and adds those for the upstream. */
  encodeUpstreamHeaders: (headers: HeaderList, context: UpstreamRequestContext) => HeaderList
  /** Decodes the headers of a response. */
  decodeResponseHead: (status: number, headers: HeaderList) => ResponseHead
  /** Encodes the retry delay of a refusal. */
  encodeRetryAfter: (retryAfterMs: Millis) => HeaderList
}
