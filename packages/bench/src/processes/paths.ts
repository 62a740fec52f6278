/** Places of the programs that the bench starts. */
import { fileURLToPath } from 'node:url'

/** Root of the repository. */
export const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))

/** Entry of the stand-ins. */
export const STANDIN_ENTRY = `${ROOT}packages/standins/dist/standin.js`

/** Entry of routers and agents. */
export const FLEET_ENTRY = `${ROOT}packages/cli/dist/fuchsiaworks.js`
