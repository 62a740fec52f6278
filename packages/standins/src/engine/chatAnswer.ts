/** Writes a chat completion in the OpenAI-compatible form, streamed or whole. */
import type { ServerResponse } from 'node:http'
import { sendJson } from '../server/httpHelpers.js'
import { countTokens, engineAnswer, engineToken, nonceOfPrompt } from './engineText.js'
import type { ChatRequest } from './engineTypes.js'

/** Writes the tokens of one answer as they are made. */
export interface ChatWriter {
  token: (index: number) => void
  end: () => void
}

/** Time of creation in the form that an answer is compared in. */
const NO_TIME = '"created":0'

const usageOf = (chat: ChatRequest): object => {
  const promptTokens = countTokens(chat.prompt)
  return { prompt_tokens: promptTokens, completion_tokens: chat.maxTokens, total_tokens: promptTokens + chat.maxTokens }
}

const now = (): number => Math.floor(Date.now() / 1000)

const idOf = (chat: ChatRequest): string => `chatcmpl-${nonceOfPrompt(chat.prompt)}`

const chunk = (chat: ChatRequest, created: number, fields: object): string =>
  `data: ${JSON.stringify({ id: idOf(chat), object: 'chat.completion.chunk', created, model: chat.model, ...fields })}\n\n`

const tokenChunk = (chat: ChatRequest, created: number, index: number): string => {
  const content = engineToken(chat.prompt, index)
  const delta = index === 0 ? { role: 'assistant', content } : { content }
  const finish = index === chat.maxTokens - 1 ? 'length' : null
  return chunk(chat, created, { choices: [{ index: 0, delta, finish_reason: finish }] })
}

const lastChunks = (chat: ChatRequest, created: number): string => {
  const usage = chat.includeUsage ? chunk(chat, created, { choices: [], usage: usageOf(chat) }) : ''
  return `${usage}data: [DONE]\n\n`
}

const wholeAnswer = (chat: ChatRequest, created: number): object => {
  const message = { role: 'assistant', content: engineAnswer(chat.prompt, chat.maxTokens) }
  const choices = [{ index: 0, message, finish_reason: 'length' }]
  return { id: idOf(chat), object: 'chat.completion', created, model: chat.model, choices, usage: usageOf(chat) }
}

const streamWriter = (res: ServerResponse, chat: ChatRequest): ChatWriter => {
  res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
  res.flushHeaders()
  return {
    token: index => { res.write(tokenChunk(chat, now(), index)) },
    end: () => { res.end(lastChunks(chat, now())) }
  }
}

const wholeWriter = (res: ServerResponse, chat: ChatRequest): ChatWriter => ({
  token: () => {},
  end: () => { sendJson(res, 200, wholeAnswer(chat, now())) }
})

/**
 * Takes the time of creation out of an answer, so that it can be compared.
 *
 * @param text - body of an answer, streamed or whole
 * @returns the body with every time set to 0
 */
export const withoutTimes = (text: string): string => text.replaceAll(/"created":\d+/g, NO_TIME)

/**
 * Says the whole body of an answer, its times set to 0.
 *
 * @param chat - the request
 * @returns what `withoutTimes` must give for a right answer
 */
export const expectedChatBody = (chat: ChatRequest): string => {
  if (!chat.stream) return JSON.stringify(wholeAnswer(chat, 0))
  const tokens = Array.from({ length: chat.maxTokens }, (_, index) => tokenChunk(chat, 0, index))
  return `${tokens.join('')}${lastChunks(chat, 0)}`
}

/**
 * Begins an answer.
 *
 * @param res - the response
 * @param chat - the request
 * @returns the writer of its tokens
 */
export const openChatAnswer = (res: ServerResponse, chat: ChatRequest): ChatWriter =>
  chat.stream ? streamWriter(res, chat) : wholeWriter(res, chat)
