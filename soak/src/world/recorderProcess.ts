/** A stream recorder as a child process. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Child } from '@fuchsiaworks/bench'

const PROGRAM = fileURLToPath(new URL('../../../platform/dist/recorderMain.js', import.meta.url))

/** Output lines kept to explain a failure. */
const MAX_OUTPUT_LINES = 1000

/** A recorder process over all its restarts. */
export class RecorderProcess {
  readonly #folder = mkdtempSync(join(tmpdir(), 'fuchsiaworks-recorder-'))
  readonly #settingsFile = join(this.#folder, 'recorder.jsonc')
  #child: Child | undefined

  /**
   * @param host - name of the host
   * @param seeds - peer addresses of some gateways
   */
  constructor (readonly host: string, seeds: readonly string[]) {
    writeFileSync(this.#settingsFile, JSON.stringify({ role: 'stream-recorder', host, zone: 'north', seeds }))
  }

  get output (): readonly string[] {
    return this.#child?.lines ?? []
  }

  start (): void {
    this.#child = new Child(`recorder ${this.host}`, ['--max-old-space-size=64', PROGRAM, 'stream-recorder', '--settings', this.#settingsFile], MAX_OUTPUT_LINES)
  }

  async kill (): Promise<void> {
    await this.#child?.kill()
  }

  async close (): Promise<void> {
    await this.kill()
    rmSync(this.#folder, { recursive: true })
  }
}
