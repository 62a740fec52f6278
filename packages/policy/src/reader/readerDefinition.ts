/** Registers the choice of readers by name. */
import { chooseReadingRole } from './reader.js'

/** Who reads the platform's lists. */
export const readerDefinition = { id: 'reader', decide: chooseReadingRole } as const
