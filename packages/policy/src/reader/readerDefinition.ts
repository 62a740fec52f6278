/** Definition of the reader policy. */
import { chooseStoreWatchRole } from './reader.js'

/** Choice of the gateways that watch the platform's store. */
export const readerDefinition = { id: 'reader', decide: chooseStoreWatchRole } as const
