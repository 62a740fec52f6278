/** A worker garbles answers. `GARBLE=status`: it answers with a status that there is not; otherwise with bytes that are no events, without end and in small pieces. */
import { fileURLToPath } from 'node:url'
import { run } from '../standins/garbledAnswers.mjs'

const TROUBLE = process.env.TROUBLE !== '0'
const garble = process.env.GARBLE === 'status' ? 'status' : 'endless'

run(fileURLToPath(new URL('record.txt', import.meta.url)), garble, TROUBLE)
