/** Watches the configuration service for new revisions of the document set. */
import { type ConfigDocuments, parseDocuments } from '@fuchsiaworks/settings'
import { LongPoll } from '../longPoll/longPoll.js'
import type { WatchOptions } from '../longPoll/longPollTypes.js'

/**
 * Emits each document set whose revision is higher than that of the previous one. The documents are not validated against
 * the configuration schema here.
 */
export class ConfigurationWatch extends LongPoll<ConfigDocuments> {
  /** @param options - URL of the configuration service, clock and random number generator */
  constructor (options: WatchOptions) {
    super(options, {
      parse: text => parseDocuments({ name: options.url, text }),
      versionOf: documents => documents.revision
    })
  }
}
