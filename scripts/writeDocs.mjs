/** Generates the pages of docs/ that are derived from schemas. */
import { writeFile } from 'node:fs/promises'
import { adminPage } from '@fuchsiaworks/admin'
import { schemaPage } from '@fuchsiaworks/settings'

const pages = { 'CONFIGURATION.md': schemaPage(), 'ADMIN.md': adminPage() }
for (const [name, text] of Object.entries(pages)) await writeFile(new URL(`../docs/${name}`, import.meta.url), text)
