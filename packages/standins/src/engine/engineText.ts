/** The text that an engine stand-in must say, so that a caller can check its answer byte for byte. */
import { createHash } from 'node:crypto'
import type { ChatRequest } from './engineTypes.js'

/** Tokens generated when a request does not say. */
const DEFAULT_MAX_TOKENS = 16

/** Characters of prompt that count as one token. */
const CHARACTERS_PER_TOKEN = 4

const NONCE_PATTERN = /nonce=([\w.-]+)/

/**
 * Finds the caller's mark in a prompt.
 *
 * @param prompt - the text of all messages
 * @returns what follows `nonce=`, or a digest of the prompt
 */
export const nonceOfPrompt = (prompt: string): string =>
  NONCE_PATTERN.exec(prompt)?.[1] ?? createHash('sha256').update(prompt).digest('hex').slice(0, 12)

/**
 * Counts the tokens of a text.
 *
 * @param text - the text
 * @returns tokens, rounded up
 */
export const countTokens = (text: string): number => Math.ceil(text.length / CHARACTERS_PER_TOKEN)

/**
 * Says one token of the answer to a prompt.
 *
 * @param prompt - the text of all messages
 * @param index - position of the token, from 0
 * @returns the token's text
 */
export const engineTokenText = (prompt: string, index: number): string => `${nonceOfPrompt(prompt)}:${index} `

/**
 * Says the whole answer to a prompt.
 *
 * @param prompt - the text of all messages
 * @param count - tokens asked for
 * @returns the text of all tokens
 */
export const engineCompletionText = (prompt: string, count: number): string => {
  const nonce = nonceOfPrompt(prompt)
  return Array.from({ length: count }, (_, index) => `${nonce}:${index} `).join('')
}

/**
 * Reads a chat completion request.
 *
 * @param text - the request body
 * @returns the parts that matter
 * @throws SyntaxError or TypeError when it is not such a request
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
