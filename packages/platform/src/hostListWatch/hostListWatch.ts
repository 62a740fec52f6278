/** Watches the platform's list of live and leaving hosts. */
import { LongPoll } from '../longPoll/longPoll.js'
import type { WatchOptions } from '../longPoll/longPollTypes.js'
import { type HostList, hostListSchema } from './hostListTypes.js'

/** Emits each host list whose version is higher than that of the previous one. */
export class HostListWatch extends LongPoll<HostList> {
  /** @param options - URL of the host list, clock and random number generator */
  constructor (options: WatchOptions) {
    super(options, {
      parse: text => hostListSchema.parse(JSON.parse(text)),
      versionOf: list => list.version
    })
  }
}
