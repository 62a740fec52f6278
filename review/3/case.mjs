/** A worker garbles answers. `GARBLE=status`: it answers with a status that there is not; otherwise with bytes that are no events, without end and in small pieces. */
import { fileURLToPath } from 'node:url'
import { run } from '../standins/garbledAnswers.mjs'

run(fileURLToPath(new URL('record.txt', import.meta.url)), process.env['GARBLE'] === 'status' ? 'status' : 'endless')
