/** Watches the configuration service for newer document sets. */
import { type ConfigDocuments, parseDocuments } from '@fuchsiaworks/settings'
import { LongPoll } from '../longPoll/longPoll.js'
import type { WatchOptions } from '../longPoll/longPollTypes.js'

/** Reports each document set with a higher revision than the last; what stands in the documents is not checked here. */
export class ConfigurationWatch extends LongPoll<ConfigDocuments> {
  /** @param options - address of the configuration service, clock and random numbers */
  constructor (options: WatchOptions) {
    super(options, {
      parse: text => parseDocuments({ name: options.url, text }),
      versionOf: documents => documents.revision
    })
  }
}
