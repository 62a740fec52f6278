/** Writes a chat completion in the OpenAI-compatible form, streamed or whole. */
import type { ServerResponse } from 'node:http'
import { sendJson } from '../server/httpHelpers.js'
import { countTokens, engineAnswer, engineToken } from './engineText.js'
import type { ChatRequest } from './engineTypes.js'

/** Writes the tokens of one answer as they are made. */
export interface ChatWriter {
  token: (index: number) => void
  end: () => void
}

const usageOf = (chat: ChatRequest): object => {
  const promptTokens = countTokens(chat.prompt)
  return { prompt_tokens: promptTokens, completion_tokens: chat.maxTokens, total_tokens: promptTokens + chat.maxTokens }
}

const streamWriter = (res: ServerResponse, chat: ChatRequest, id: string): ChatWriter => {
  const base = { id, object: 'chat.completion.chunk', created: Math.floor(Date.now() / 1000), model: chat.model }
  const send = (fields: object): void => { res.write(`data: ${JSON.stringify({ ...base, ...fields })}\n\n`) }
  res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
  res.flushHeaders()
  return {
    token: index => {
      const last = index === chat.maxTokens - 1
      const delta = index === 0 ? { role: 'assistant', content: engineToken(chat.prompt, 0) } : { content: engineToken(chat.prompt, index) }
      send({ choices: [{ index: 0, delta, finish_reason: last ? 'length' : null }] })
    },
    end: () => {
      if (chat.includeUsage) send({ choices: [], usage: usageOf(chat) })
      res.end('data: [DONE]\n\n')
    }
  }
}

const wholeWriter = (res: ServerResponse, chat: ChatRequest, id: string): ChatWriter => ({
  token: () => {},
  end: () => {
    const message = { role: 'assistant', content: engineAnswer(chat.prompt, chat.maxTokens) }
    const choices = [{ index: 0, message, finish_reason: 'length' }]
    const created = Math.floor(Date.now() / 1000)
    sendJson(res, 200, { id, object: 'chat.completion', created, model: chat.model, choices, usage: usageOf(chat) })
  }
})

/**
 * Begins an answer.
 *
 * @param res - the response
 * @param chat - the request
 * @param id - id of the completion
 * @returns the writer of its tokens
 */
export const openChatAnswer = (res: ServerResponse, chat: ChatRequest, id: string): ChatWriter =>
  chat.stream ? streamWriter(res, chat, id) : wholeWriter(res, chat, id)
