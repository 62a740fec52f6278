import { describe, it } from 'node:test'
import { expect } from 'earl'
import { mayAcceptApiKeys } from './configAge.js'

/** Milliseconds after which a revoked key must be refused. */
const BOUND_MS = 5000

describe('API keys', () => {
  it('are refused before the configuration has been confirmed', () => {
    expect(mayAcceptApiKeys(undefined, BOUND_MS)).toEqual(false)
    expect(mayAcceptApiKeys(undefined, undefined)).toEqual(false)
  })

  it('are accepted until the bound minus a safety margin', () => {
    expect(mayAcceptApiKeys(0, BOUND_MS)).toEqual(true)
    expect(mayAcceptApiKeys(4000, BOUND_MS)).toEqual(true)
    expect(mayAcceptApiKeys(4600, BOUND_MS)).toEqual(false)
  })

  it('are accepted at any age without a bound', () => {
    expect(mayAcceptApiKeys(1e9, undefined)).toEqual(true)
  })
})
