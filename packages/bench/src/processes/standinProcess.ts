/** Stand-ins as processes of their own, steered over their control ports. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { StandinSpec } from '@fuchsiaworks/standins'
import { request } from 'undici'
import { Child } from './child.js'
import { STANDIN_ENTRY } from './paths.js'

/** Steers one stand-in. */
export class StandinControl {
  /**
   * @param url - address for clients of the stand-in
   * @param controlUrl - address of its control paths, without a slash at the end
   */
  constructor (readonly url: string, readonly controlUrl: string) {}

  /** Changes knobs. */
  async setKnobs (knobs: object): Promise<void> {
    await this.#sendRequest('PUT', 'knobs', knobs)
  }

  /** Gives an order by name. */
  async sendCommand (name: string, value: unknown = null): Promise<void> {
    await this.#sendRequest('POST', name, value)
  }

  /** @returns what the stand-in saw */
  async readFacts<T> (): Promise<T> {
    const res = await request(`${this.controlUrl}/facts`)
    return await res.body.json() as T
  }

  async #sendRequest (method: 'PUT' | 'POST', path: string, value: unknown): Promise<void> {
    const res = await request(`${this.controlUrl}/${path}`, { method, body: JSON.stringify(value) })
    await res.body.dump()
  }
}

/** One process with its stand-ins by name. */
export interface StandinProcess {
  readonly child: Child
  readonly controls: ReadonlyMap<string, StandinControl>
}

/**
 * Starts a process that holds a group of stand-ins.
 *
 * @param folder - where its file is written
 * @param name - name in reports
 * @param specs - the stand-ins by name
 * @returns the process once all of them listen
 */
export const startStandins = async (folder: string, name: string, specs: Readonly<Record<string, StandinSpec>>): Promise<StandinProcess> => {
  const file = join(folder, `${name}.json`)
  writeFileSync(file, JSON.stringify(specs))
  const child = new Child(name, [STANDIN_ENTRY, 'group', '--file', file])
  const { urls, controlUrl } = JSON.parse(await child.firstLine()) as { urls: Record<string, string>, controlUrl: string }
  const controls = Object.entries(urls).map(([id, url]) => [id, new StandinControl(url, `${controlUrl}/${id}`)] as const)
  return { child, controls: new Map(controls) }
}
