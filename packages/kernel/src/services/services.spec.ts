import { describe, it } from 'node:test'
import { expect } from 'earl'
import { DuplicateServiceError, UnknownServiceError } from '../errors/errors.js'
import { Kernel, type Service, serviceKey } from './services.js'

const createDefinition = (id: string, needs: string[], calls: string[]) => ({
  id,
  needs,
  create: (): Service => ({
    start: () => { calls.push(`start ${id}`) },
    close: () => { calls.push(`close ${id}`) }
  })
})

describe('the kernel', () => {
  it('starts services after those they need and closes them in reverse', async () => {
    const calls: string[] = []
    const kernel = new Kernel()
    kernel.register(createDefinition('b', ['a'], calls))
    kernel.register(createDefinition('a', [], calls))
    await kernel.start()
    await kernel.close()
    expect(calls).toEqual(['start a', 'start b', 'close b', 'close a'])
  })

  it('refuses a second service of the same name and the look-up of a missing one', () => {
    const kernel = new Kernel()
    kernel.register(createDefinition('a', [], []))
    expect(() => { kernel.register(createDefinition('a', [], [])) }).toThrow(DuplicateServiceError)
    expect(() => kernel.get(serviceKey('missing'))).toThrow(UnknownServiceError)
  })
})
