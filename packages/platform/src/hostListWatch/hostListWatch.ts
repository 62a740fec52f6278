/** Watches the platform's list of live and leaving hosts. */
import { LongPoll } from '../longPoll/longPoll.js'
import type { WatchOptions } from '../longPoll/longPollTypes.js'
import { type HostList, hostListSchema } from './hostListTypes.js'

/** Reports each list with a higher version than the last. */
export class HostListWatch extends LongPoll<HostList> {
  /** @param options - address of the host list, clock and random numbers */
  constructor (options: WatchOptions) {
    super(options, {
      parse: text => hostListSchema.parse(JSON.parse(text)),
      versionOf: list => list.version
    })
  }
}
