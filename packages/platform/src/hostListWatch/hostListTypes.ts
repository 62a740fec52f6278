/** Schema and types of the platform's host list. */
import type { HostId, ZoneId } from '@fuchsiaworks/kernel'
import { idSchema, port } from '@fuchsiaworks/settings'
import * as z from 'zod'

/** One host of the list. Unknown keys are let through, because the platform may add some. */
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

/** Live and leaving hosts; it lags behind what is so. */
export interface HostList {
  readonly version: number
  readonly hosts: readonly HostEntry[]
}
