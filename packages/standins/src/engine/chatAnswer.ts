/** Writes OpenAI-compatible chat completions, streamed or as one JSON document. */
import type { ServerResponse } from 'node:http'
import { sendJson } from '../server/httpHelpers.js'
import { countTokens, engineCompletionText, engineTokenText, nonceOfPrompt } from './engineText.js'
import type { ChatRequest } from './engineTypes.js'

/** Writes the tokens of one response as they are generated. */
export interface ChatWriter {
  token: (index: number) => void
  end: () => void
}

/** Replacement of the creation times, which differ between two responses to the same request. */
const ZERO_TIME = '"created":0'

const tokenUsage = (chat: ChatRequest): object => {
  const promptTokens = countTokens(chat.prompt)
  return { prompt_tokens: promptTokens, completion_tokens: chat.maxTokens, total_tokens: promptTokens + chat.maxTokens }
}

const unixSeconds = (): number => Math.floor(Date.now() / 1000)

const completionId = (chat: ChatRequest): string => `chatcmpl-${nonceOfPrompt(chat.prompt)}`

const formatChunk = (chat: ChatRequest, created: number, fields: object): string =>
  `data: ${JSON.stringify({ id: completionId(chat), object: 'chat.completion.chunk', created, model: chat.model, ...fields })}\n\n`

const formatTokenChunk = (chat: ChatRequest, created: number, index: number): string => {
  const content = engineTokenText(chat.prompt, index)
  const delta = index === 0 ? { role: 'assistant', content } : { content }
  const finishReason = index === chat.maxTokens - 1 ? 'length' : null
  return formatChunk(chat, created, { choices: [{ index: 0, delta, finish_reason: finishReason }] })
}

const formatFinalChunks = (chat: ChatRequest, created: number): string => {
  const usage = chat.includeUsage ? formatChunk(chat, created, { choices: [], usage: tokenUsage(chat) }) : ''
  return `${usage}data: [DONE]\n\n`
}

const buildCompletion = (chat: ChatRequest, created: number): object => {
  const message = { role: 'assistant', content: engineCompletionText(chat.prompt, chat.maxTokens) }
  const choices = [{ index: 0, message, finish_reason: 'length' }]
  return { id: completionId(chat), object: 'chat.completion', created, model: chat.model, choices, usage: tokenUsage(chat) }
}

const createStreamWriter = (res: ServerResponse, chat: ChatRequest): ChatWriter => {
  res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
  res.flushHeaders()
  return {
    token: index => { res.write(formatTokenChunk(chat, unixSeconds(), index)) },
    end: () => { res.end(formatFinalChunks(chat, unixSeconds())) }
  }
}

const createCompletionWriter = (res: ServerResponse, chat: ChatRequest): ChatWriter => ({
  token: () => {},
  end: () => { sendJson(res, 200, buildCompletion(chat, unixSeconds())) }
})

/**
 * Sets the creation times in a response body to 0, so that it can be compared.
 *
 * @param text - response body, streamed or as one document
 * @returns the body with every creation time set to 0
 */
export const zeroCreationTimes = (text: string): string => text.replaceAll(/"created":\d+/g, ZERO_TIME)

/**
 * Returns the expected response body for a request, with creation times set to 0.
 *
 * @param chat - the request
 * @returns what `zeroCreationTimes` gives for a correct response
 */
export const expectedChatBody = (chat: ChatRequest): string => {
  if (!chat.stream) return JSON.stringify(buildCompletion(chat, 0))
  const tokens = Array.from({ length: chat.maxTokens }, (_, index) => formatTokenChunk(chat, 0, index))
  return `${tokens.join('')}${formatFinalChunks(chat, 0)}`
}

/**
 * Starts a response.
 *
 * @param res - the response
 * @param chat - the request
 * @returns writer for its tokens
 */
export const openChatResponse = (res: ServerResponse, chat: ChatRequest): ChatWriter =>
  chat.stream ? createStreamWriter(res, chat) : createCompletionWriter(res, chat)
