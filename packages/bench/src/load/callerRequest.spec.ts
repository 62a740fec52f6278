import { createHash } from 'node:crypto'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { expectedChatBody, bodyFromNonce } from '@fuchsiaworks/standins'
import { createRequest } from './callerRequest.js'
import type { PlannedRequest, RequestKind } from './loadTypes.js'

const requestOf = (kind: RequestKind, nonce = 'w.1'): ReturnType<typeof createRequest> => {
  const planned: PlannedRequest = { nonce, workspace: 'w', service: 's', kind, router: 0, at: 0, size: 10, filler: 'x' }
  return createRequest(planned, '/posts', () => 'key')
}

const chatResponse = (nonce: string, stream: boolean): Buffer =>
  Buffer.from(expectedChatBody({ prompt: `nonce=${nonce} x`, maxTokens: 10, stream, includeUsage: false, model: 'bench' }))

describe('the check of a response', () => {
  it('accepts the right completion at any time of creation, and no other', () => {
    const timed = Buffer.from(chatResponse('w.1', true).toString().replaceAll('"created":0', '"created":1796336403'))
    expect(requestOf('stream').checkBody(timed)).toEqual('')
    expect(requestOf('stream').checkBody(timed.subarray(0, -1))).not.toEqual('')
    expect(requestOf('stream').checkBody(chatResponse('w.2', true))).not.toEqual('')
    expect(requestOf('completion').checkBody(chatResponse('w.1', false))).toEqual('')
  })

  it('accepts only a download of the right nonce and size', () => {
    expect(requestOf('download').checkBody(bodyFromNonce('w.1', 10))).toEqual('')
    expect(requestOf('download').checkBody(bodyFromNonce('w.1', 9))).not.toEqual('')
  })

  it('rejects an echo of another request, of a changed body or without a header', () => {
    const req = requestOf('post')
    const echo = {
      method: 'POST',
      path: '/posts?nonce=w.1',
      nonce: 'w.1',
      headers: { 'x-bench': 'w.1' },
      bodySha256: createHash('sha256').update(req.body ?? '').digest('hex')
    }
    const check = (changes: object): string => req.checkBody(Buffer.from(JSON.stringify({ ...echo, ...changes })))
    expect(check({})).toEqual('')
    for (const changes of [{ nonce: 'w.2' }, { method: 'PUT' }, { path: '/x' }, { headers: {} }, { bodySha256: '' }]) expect(check(changes)).not.toEqual('')
  })
})
