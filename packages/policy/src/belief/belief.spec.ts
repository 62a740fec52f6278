import { describe, it } from 'node:test'
import { expect } from 'earl'
import { mayAcceptApiKeys } from './belief.js'

/** Milliseconds after which a key that was taken away must not work. */
const BOUND_MS = 5000

describe('keys', () => {
  it('are not honoured before the configuration was confirmed once', () => {
    expect(mayAcceptApiKeys(undefined, BOUND_MS)).toEqual(false)
    expect(mayAcceptApiKeys(undefined, undefined)).toEqual(false)
  })

  it('are honoured while a taken key would still be allowed to work, with a margin for sending', () => {
    expect(mayAcceptApiKeys(0, BOUND_MS)).toEqual(true)
    expect(mayAcceptApiKeys(4000, BOUND_MS)).toEqual(true)
    expect(mayAcceptApiKeys(4600, BOUND_MS)).toEqual(false)
  })

  it('are honoured at any age where there is no bound', () => {
    expect(mayAcceptApiKeys(1e9, undefined)).toEqual(true)
  })
})
