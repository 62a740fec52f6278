/** Definition of the reader policy. */
import { chooseReadingRole } from './reader.js'

/** Choice of the gateways that watch the platform's store. */
export const readerDefinition = { id: 'reader', decide: chooseReadingRole } as const
