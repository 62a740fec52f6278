/** A worker sends bytes that are no events, without end and in small pieces. */
import { fileURLToPath } from 'node:url'
import { run } from '../standins/garbledAnswers.mjs'

run(fileURLToPath(new URL('record.txt', import.meta.url)), 'endless')
