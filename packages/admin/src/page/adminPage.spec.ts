import { readFile } from 'node:fs/promises'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { adminPage } from './adminPage.js'

const PAGE_URL = new URL('../../../../docs/ADMIN.md', import.meta.url)

describe('the page of the administration API', () => {
  it('is current; npm run docs writes it', async () => {
    expect(await readFile(PAGE_URL, 'utf8')).toEqual(adminPage())
  })
})
