import { describe, it } from 'node:test'
import { expect } from 'earl'
import { findPorts } from './findPorts.js'

/** Enough ports that drawing them one after the other would almost surely give one twice. */
const COUNT = 900

describe('free ports', () => {
  it('are distinct, so that the servers of one test never get the same port', async () => {
    expect(new Set(await findPorts(COUNT)).size).toEqual(COUNT)
  })
})
