/** Paths of the programs that the bench starts. */
import { fileURLToPath } from 'node:url'

/** Root directory of the repository, with a slash at the end. */
export const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))

/** Entry script of the stand-ins. */
export const STANDIN_ENTRY = `${ROOT}packages/standins/dist/standin.js`

/** Entry script of routers and agents. */
export const FLEET_ENTRY = `${ROOT}packages/cli/dist/fuchsiaworks.js`
