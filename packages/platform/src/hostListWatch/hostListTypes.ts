/** Schema and types of the platform's host list. */
import type { HostId, ZoneId } from '@fuchsiaworks/kernel'
import { idSchema, port } from '@fuchsiaworks/settings'
import * as z from 'zod'

/** Schema of one host. Unknown keys are ignored, so that the platform can add fields. */
const hostEntrySchema = z.object({
  host: idSchema<HostId>(),
  zone: idSchema<ZoneId>(),
  role: z.enum(['router', 'upstream']),
  address: z.string().min(1),
  linkPort: port,
  state: z.enum(['live', 'leaving'])
})

/** The host list as the platform publishes it. */
export const hostListSchema = z.object({
  version: z.int().min(0),
  hosts: z.array(hostEntrySchema)
})

/** One host of the list. */
export interface HostEntry extends z.output<typeof hostEntrySchema> {}

/** Live and leaving hosts. The list may lag behind their actual state. */
export interface HostList {
  readonly version: number
  readonly hosts: readonly HostEntry[]
}
