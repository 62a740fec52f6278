/** Deterministic text of an engine stand-in, so that a caller can check a response byte for byte. */
import { createHash } from 'node:crypto'
import type { ChatRequest } from './engineTypes.js'

/** Tokens generated when a request sets no maximum. */
const DEFAULT_MAX_TOKENS = 16

/** Characters of prompt that count as one token. */
const CHARACTERS_PER_TOKEN = 4

const NONCE_PATTERN = /nonce=([\w.-]+)/

/**
 * Finds the nonce (request identifier) in a prompt.
 *
 * @param prompt - the text of all messages
 * @returns the text after `nonce=`; without one, a digest of the prompt
 */
export const nonceOfPrompt = (prompt: string): string =>
  NONCE_PATTERN.exec(prompt)?.[1] ?? createHash('sha256').update(prompt).digest('hex').slice(0, 12)

/**
 * Estimates the tokens of a text from its length.
 *
 * @param text - the text
 * @returns tokens, rounded up
 */
export const countTokens = (text: string): number => Math.ceil(text.length / CHARACTERS_PER_TOKEN)

/**
 * Returns one token of the completion of a prompt.
 *
 * @param prompt - the text of all messages
 * @param index - position of the token, from 0
 */
export const engineTokenText = (prompt: string, index: number): string => `${nonceOfPrompt(prompt)}:${index} `

/**
 * Returns the completion of a prompt.
 *
 * @param prompt - the text of all messages
 * @param count - number of tokens
 */
export const engineCompletionText = (prompt: string, count: number): string => {
  const nonce = nonceOfPrompt(prompt)
  return Array.from({ length: count }, (_, index) => `${nonce}:${index} `).join('')
}

/**
 * Parses a chat completion request.
 *
 * @param text - the request body
 * @returns the fields that the stand-in uses
 * @throws SyntaxError or TypeError when the text is not a chat completion request
 */
export const parseChatRequest = (text: string): ChatRequest => {
  const doc = JSON.parse(text) as {
    messages: Array<{ content: string }>,
    max_tokens?: number,
    max_completion_tokens?: number,
    stream?: boolean,
    stream_options?: { include_usage?: boolean },
    model?: string
  }
  return {
    prompt: doc.messages.map(message => message.content).join('\n'),
    maxTokens: Math.max(1, doc.max_completion_tokens ?? doc.max_tokens ?? DEFAULT_MAX_TOKENS),
    stream: doc.stream === true,
    includeUsage: doc.stream_options?.include_usage === true,
    model: doc.model ?? 'standin'
  }
}
