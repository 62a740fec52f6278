import { describe, it } from 'node:test'
import { expect } from 'earl'
import { DuplicateServiceError, UnknownServiceError } from '../errors/errors.js'
import { Kernel, type Service, serviceKey } from './services.js'

const createDefinition = (id: string, dependencies: string[], calls: string[]) => ({
  id,
  dependencies,
  create: (): Service => ({
    start: () => { calls.push(`start ${id}`) },
    close: () => { calls.push(`close ${id}`) }
  })
})

describe('Kernel', () => {
  it('starts services after their dependencies and closes them in reverse order', async () => {
    const calls: string[] = []
    const kernel = new Kernel()
    kernel.register(createDefinition('b', ['a'], calls))
    kernel.register(createDefinition('a', [], calls))
    await kernel.start()
    await kernel.close()
    expect(calls).toEqual(['start a', 'start b', 'close b', 'close a'])
  })

  it('throws on a duplicate service name and on lookup of an unknown service', () => {
    const kernel = new Kernel()
    kernel.register(createDefinition('a', [], []))
    expect(() => { kernel.register(createDefinition('a', [], [])) }).toThrow(DuplicateServiceError)
    expect(() => kernel.get(serviceKey('missing'))).toThrow(UnknownServiceError)
  })
})
