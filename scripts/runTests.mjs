/** Runs all compiled spec files with the Node.js test runner; arguments select files whose paths contain one of them. */
import { spawnSync } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { join, relative } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))

/** Timeout of one spec file. */
const FILE_TIMEOUT_MS = 300_000

/** Folder of the specs that start a fleet of processes. */
const FLEET_SPECS = join('soak', 'dist', 'world')

const listSpecs = (folder) => readdirSync(folder, { recursive: true })
  .map(name => join(folder, String(name)))
  .filter(name => name.endsWith('.spec.js'))

const folders = [...readdirSync(join(root, 'packages')).map(name => join(root, 'packages', name)), join(root, 'platform'), join(root, 'soak')]

const specs = folders
  .flatMap(folder => listSpecs(join(folder, 'dist')))
  .map(name => relative(root, name))
  .filter(name => process.argv.length === 2 || process.argv.slice(2).some(part => name.includes(part)))
  .sort()

if (specs.length === 0) {
  console.error('test: no spec file matches')
  process.exit(1)
}

/** Runs spec files; false when a test fails. */
const runFiles = (files, concurrency) => {
  if (files.length === 0) return true
  const args = ['--test', '--test-reporter=spec', `--test-timeout=${FILE_TIMEOUT_MS}`, `--test-concurrency=${concurrency}`, ...files]
  return spawnSync(process.execPath, args, { cwd: root, stdio: 'inherit' }).status === 0
}

// Specs that start a fleet of processes need its processors to themselves.
const startsFleet = name => name.startsWith(FLEET_SPECS)
const results = [
  runFiles(specs.filter(name => !startsFleet(name)), 4),
  runFiles(specs.filter(startsFleet), 1)
]
process.exit(results.every(Boolean) ? 0 : 1)
