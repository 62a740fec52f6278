import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import {
  type Standin, engineCompletionText, expectedChatBody, openControlServer, bodyFromNonce, startConfiguration, startDelayRelay, startEngine, startHosts,
  startPlain, zeroCreationTimes
} from './index.js'

const FAST = { tokenInterval: 1, firstToken: 1, loadLag: 0 }

const openResources: Array<{ close: () => Promise<void> }> = []
const closeAfterTest = <T extends { close: () => Promise<void> }>(resource: T): T => {
  openResources.push(resource)
  return resource
}
afterEach(async () => { for (const resource of openResources.splice(0)) await resource.close() })

const chat = async (url: string, prompt: string, stream: boolean, tokens = 5): Promise<Response> => await fetch(`${url}/v1/chat/completions`, {
  method: 'POST',
  body: JSON.stringify({ messages: [{ role: 'user', content: prompt }], max_tokens: tokens, stream })
})

const factsOf = <K>(standin: Standin<K>): { runs: Array<{ nonce: string, end: string }>, repeated: object } =>
  standin.facts() as never

describe('the engine stand-in', () => {
  it('sends one event per token when streaming, and one document otherwise', async () => {
    const engine = closeAfterTest(await startEngine({ knobs: FAST }))
    const text = await (await chat(engine.url, 'nonce=a.1 hi', true)).text()
    const events = text.trim().split('\n\n')
    const tokens = events.slice(0, -1).map(event => JSON.parse(event.slice('data: '.length)).choices[0].delta.content)
    expect(tokens.join('')).toEqual(engineCompletionText('nonce=a.1 hi', 5))
    expect(events.at(-1)).toEqual('data: [DONE]')
    const request = { prompt: 'nonce=a.1 hi', maxTokens: 5, stream: true, includeUsage: false, model: 'standin' }
    expect(zeroCreationTimes(text)).toEqual(expectedChatBody(request))
    const completion = await (await chat(engine.url, 'nonce=a.1 hi', false)).json() as { choices: Array<{ message: { content: string } }> }
    expect(completion.choices[0]?.message.content).toEqual(engineCompletionText('nonce=a.1 hi', 5))
    expect(factsOf(engine).repeated).toEqual({ 'a.1': 2 })
  })

  it('aborts every request on a crash and restarts cold', async () => {
    const engine = closeAfterTest(await startEngine({ knobs: { ...FAST, crashOn: 'poison', crashDown: 20 } }))
    const other = chat(engine.url, 'nonce=b', true, 100_000).then(async res => await res.text())
    while ((engine.facts() as { running: number }).running === 0) await new Promise(setImmediate)
    await expect(chat(engine.url, 'nonce=c poison', false)).toBeRejected()
    await expect(other).toBeRejected()
    expect(factsOf(engine).runs.map(run => run.end)).toEqual(['crashed', 'crashed'])
    expect((engine.facts() as { coldness: number }).coldness).toEqual(1)
  })
})

describe('the plain stand-in', () => {
  it('echoes a request, sends bodies of any size and records a second run', async () => {
    const plain = closeAfterTest(await startPlain({ knobs: { busy: 0 } }))
    const echo = await (await fetch(`${plain.url}/contributions?nonce=x.1`, { method: 'POST', body: 'abc' })).json() as object
    expect(echo).toLooseEqual(expect.subset({ method: 'POST', path: '/contributions?nonce=x.1', nonce: 'x.1', bodyBytes: 3 }))
    const body = Buffer.from(await (await fetch(`${plain.url}/contributions?nonce=x.1&bytes=300000&trailers=1`)).arrayBuffer())
    expect(body.equals(bodyFromNonce('x.1', 300_000))).toEqual(true)
    expect(factsOf(plain).repeated).toEqual({ 'x.1': 2 })
  })

  it('applies knobs from its control port', async () => {
    const plain = closeAfterTest(await startPlain())
    const control = closeAfterTest(await openControlServer(plain, 0))
    await fetch(`${control.url}/knobs`, { method: 'PUT', body: JSON.stringify({ refuse: true }) })
    await expect(fetch(`${plain.url}/x`)).toBeRejected()
    await fetch(`${control.url}/knobs`, { method: 'PUT', body: JSON.stringify({ refuse: false }) })
    expect((await fetch(`${plain.url}/x?busy=0`)).status).toEqual(200)
  })
})

describe('the platform stand-ins', () => {
  const documents = { base: '{}', overlays: { here: '{}' } }

  it('answers a long poll on a new revision, and can serve an old one', async () => {
    const configuration = closeAfterTest(await startConfiguration({ documents }))
    const longPoll = fetch(`${configuration.url}/v1/configuration?after=1&wait=60000`)
    while ((configuration.facts() as { watching: number }).watching === 0) await new Promise(setImmediate)
    configuration.publish({ base: '{"a":1}', overlays: {} })
    expect(await (await longPoll).json()).toEqual({ revision: 2, base: '{"a":1}', overlays: {} })
    configuration.updateKnobs({ staleRevision: 1 })
    expect((await fetch(`${configuration.url}/v1/configuration?after=1`)).status).toEqual(204)
    expect(await (await fetch(`${configuration.url}/v1/configuration`)).json()).toEqual({ revision: 1, ...documents })
  })

  it('rejects calls above the rate limit', async () => {
    const configuration = closeAfterTest(await startConfiguration({ documents, knobs: { rate: 2 } }))
    const statuses = []
    for (let call = 0; call < 3; call++) statuses.push((await fetch(`${configuration.url}/v1/configuration`)).status)
    expect(statuses).toEqual([200, 200, 429])
  })

  it('answers a long poll with a new host list', async () => {
    const hosts = closeAfterTest(await startHosts())
    const longPoll = fetch(`${hosts.url}/v1/hosts?after=1&wait=60000`)
    hosts.publish([])
    expect(await (await longPoll).json()).toEqual({ version: 2, hosts: [] })
  })
})

describe('the delay relay', () => {
  it('relays bytes in order, and silences only connections that are open at that time', async () => {
    const plain = closeAfterTest(await startPlain({ knobs: { busy: 0 } }))
    const port = Number(new URL(plain.url).port)
    const delay = closeAfterTest(await startDelayRelay({ target: { host: '127.0.0.1', port }, knobs: { delay: 1, jitter: 1 } }))
    const read = async (nonce: string): Promise<boolean> => {
      const res = await fetch(`${delay.url}/x?nonce=${nonce}&bytes=3000000`, { headers: { connection: 'close' } })
      return Buffer.from(await res.arrayBuffer()).equals(bodyFromNonce(nonce, 3_000_000))
    }
    expect(await read('n1')).toEqual(true)
    const controller = new AbortController()
    const silenced = fetch(`${delay.url}/x?busy=500`, { signal: controller.signal })
    while (factsOf(plain).runs.length < 2) await new Promise(setImmediate)
    delay.silence()
    expect(await read('n2')).toEqual(true)
    controller.abort()
    await expect(silenced).toBeRejected()
  })
})
