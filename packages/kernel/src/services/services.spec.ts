import { describe, it } from 'node:test'
import { expect } from 'earl'
import { DuplicateServiceError, UnknownServiceError } from '../errors/errors.js'
import { Kernel, type Service, serviceKey } from './services.js'

const recorder = (id: string, dependencies: string[], record: string[]) => ({
  id,
  dependencies,
  create: (): Service => ({
    start: () => { record.push(`start ${id}`) },
    close: () => { record.push(`close ${id}`) }
  })
})

describe('the kernel', () => {
  it('starts services after those they need and closes them in reverse', async () => {
    const record: string[] = []
    const kernel = new Kernel()
    kernel.register(recorder('b', ['a'], record))
    kernel.register(recorder('a', [], record))
    await kernel.start()
    await kernel.close()
    expect(record).toEqual(['start a', 'start b', 'close b', 'close a'])
  })

  it('refuses a second service of the same name and the look-up of a missing one', () => {
    const kernel = new Kernel()
    kernel.register(recorder('a', [], []))
    expect(() => { kernel.register(recorder('a', [], [])) }).toThrow(DuplicateServiceError)
    expect(() => kernel.get(serviceKey('missing'))).toThrow(UnknownServiceError)
  })
})
