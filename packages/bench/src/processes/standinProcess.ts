/** Runs stand-ins in child processes and controls them over their control ports. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { StandinSpec } from '@fuchsiaworks/standins'
import { request } from 'undici'
import { Child } from './child.js'
import { STANDIN_ENTRY } from './paths.js'

/** Client of the control port of one stand-in. */
export class StandinControl {
  /**
   * @param url - URL that the stand-in serves its clients at
   * @param controlUrl - URL of its control paths, without a trailing slash
   */
  constructor (readonly url: string, readonly controlUrl: string) {}

  /** Changes knobs (adjustable behaviour) of the stand-in. */
  async updateKnobs (knobs: object): Promise<void> {
    await this.#sendRequest('PUT', 'knobs', knobs)
  }

  /** Sends a command, such as `publish`, with its argument. */
  async sendCommand (name: string, value: unknown = null): Promise<void> {
    await this.#sendRequest('POST', name, value)
  }

  /** Reads what the stand-in has recorded, such as the runs of requests. */
  async readFacts<T> (): Promise<T> {
    const res = await request(`${this.controlUrl}/facts`)
    return await res.body.json() as T
  }

  async #sendRequest (method: 'PUT' | 'POST', path: string, value: unknown): Promise<void> {
    const res = await request(`${this.controlUrl}/${path}`, { method, body: JSON.stringify(value) })
    await res.body.dump()
  }
}

/** A child process, and the stand-ins that it runs, by name. */
export interface StandinProcess {
  readonly child: Child
  readonly controls: ReadonlyMap<string, StandinControl>
}

/**
 * Starts a process that runs a group of stand-ins.
 *
 * @param folder - directory for the file of specs
 * @param name - name of the process in reports
 * @param specs - the stand-ins by name
 * @returns the process, once all of its stand-ins listen
 */
export const startStandins = async (folder: string, name: string, specs: Readonly<Record<string, StandinSpec>>): Promise<StandinProcess> => {
  const file = join(folder, `${name}.json`)
  writeFileSync(file, JSON.stringify(specs))
  const child = new Child(name, [STANDIN_ENTRY, 'group', '--file', file])
  const { urls, controlUrl } = JSON.parse(await child.firstLine()) as { urls: Record<string, string>, controlUrl: string }
  const controls = Object.entries(urls).map(([id, url]) => [id, new StandinControl(url, `${controlUrl}/${id}`)] as const)
  return { child, controls: new Map(controls) }
}
