/**
 * Stand-in for one worker, started as a process of its own. Its settings come as JSON on the command line; `process.send` tells the parent of its address
 * and of each request that it runs. Messages of the parent change its faults.
 */
import { createServer } from 'node:http'

const { host, id, version, text, workMs, events, eventMs } = JSON.parse(process.argv[2])

/** Bytes of a piece of an endless answer: about one token. */
const PIECE_BYTES = 8

/** Every so many answers to streams are garbled; 0 for none. `endless`: bytes that are no events, without end, in small pieces; `status`: a status below 100. */
let fault = { every: 0, garble: 'endless' }
let streams = 0
process.on('message', message => { fault = { ...fault, ...message } })
process.on('disconnect', () => { process.exit() })

let running = 0

const tell = message => { if (process.connected) process.send(message) }

const headersFor = attempt => ({ 'X-Attempt-Id': attempt, 'X-Response-Seal': `${id}.${attempt}`, 'X-Instance-Load': `${running},0,64` })

/** Writes pieces until the caller closes, as fast as it reads. */
const writeEndless = (res) => {
  const piece = Buffer.alloc(PIECE_BYTES, 'x')
  const write = () => { while (!res.destroyed && res.write(piece)); }
  res.on('drain', write)
  write()
}

const runStream = (req, res, attempt) => {
  streams += 1
  const isGarbled = fault.every > 0 && streams % fault.every === 0
  if (isGarbled) tell({ kind: 'garbled', attempt, at: Date.now() })
  if (isGarbled && fault.garble === 'status') return req.socket.end(`HTTP/1.1 020 OK\r\nX-Attempt-Id: ${attempt}\r\nContent-Length: 2\r\n\r\nok`)
  res.writeHead(200, { ...headersFor(attempt), 'Content-Type': 'text/event-stream' })
  if (isGarbled) return writeEndless(res)
  let next = Number(req.headers['last-event-id'] ?? -1) + 1
  const timer = setInterval(() => {
    if (next < events) res.write(`id: ${next}\ndata: ${text}-${next}\n\n`)
    next += 1
    if (next < events) return
    clearInterval(timer)
    res.end()
  }, eventMs)
  res.on('close', () => { clearInterval(timer) })
}

const runPlain = (req, res, attempt, body) => {
  const answer = `${attempt} ${req.method} ${req.url} ${body.length}`
  const timer = setTimeout(() => {
    res.writeHead(200, { ...headersFor(attempt), 'Content-Length': Buffer.byteLength(answer) }).end(answer)
  }, workMs)
  res.on('close', () => { clearTimeout(timer) })
}

const server = createServer((req, res) => {
  if (req.url === '/health') return res.writeHead(200, { 'X-Instance-Id': id, 'X-Instance-Load': `${running},0,64` }).end()
  const parts = []
  req.on('data', part => { parts.push(part) })
  req.on('end', () => {
    const attempt = req.headers['x-attempt-id'] ?? ''
    if (req.headers['x-expect-instance'] !== id) return res.writeHead(421, { 'X-Instance-Id': id, 'X-Attempt-Id': attempt, 'X-Not-Executed': '1', 'Content-Length': 0 }).end()
    running += 1
    res.on('close', () => { running -= 1 })
    tell({ kind: 'run', worker: id, version, attempt, path: req.url, lastEventId: req.headers['last-event-id'] ?? '', at: Date.now() })
    if (events > 0) runStream(req, res, attempt)
    else runPlain(req, res, attempt, Buffer.concat(parts))
  })
})
server.keepAliveTimeout = 60_000
server.listen(0, host, () => { tell({ kind: 'listening', address: `${host}:${server.address().port}` }) })
