import { describe, it } from 'node:test'
import { expect } from 'earl'
import { attributeResponse } from './responseAttribution.js'

describe('the attribution of a response', () => {
  for (const [responseId, isFirstExchange, expected] of [
    ['a', false, 'own'], ['a', true, 'own'], ['b', false, 'other-request'], ['b', true, 'other-request'], ['', true, 'other-request'], [undefined, true, 'own'], [undefined, false, 'unattributed']
  ] as const) {
    it(`to request a is ${expected} when it names ${responseId ?? 'none'} on ${isFirstExchange ? 'a new' : 'a used'} connection`, () => {
      expect(attributeResponse({ requestId: 'a', responseId, isFirstExchange })).toEqual(expected)
    })
  }
})
