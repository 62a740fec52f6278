import { readFile } from 'node:fs/promises'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { adminPage } from './adminPage.js'

const PAGE_URL = new URL('../../../../docs/ADMIN.md', import.meta.url)

describe('reference page of the administration API', () => {
  it('is up to date with the registry of routes; npm run docs regenerates it', async () => {
    expect(await readFile(PAGE_URL, 'utf8')).toEqual(adminPage())
  })
})
