/** Stand-in for the platform's store: revisions, range reads and watches. */
import { createServer } from 'node:http'

export class Store {
  #items = new Map()
  #revision = 1
  #watches = new Set()
  #server = createServer((req, res) => { this.#handle(new URL(req.url, 'http://store'), res) })

  async start (host) {
    await new Promise(resolve => { this.#server.listen(0, host, resolve) })
    this.address = `${host}:${this.#server.address().port}`
  }

  /** Writes an item. The return is the acknowledgement. */
  put (key, value) {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'))
  }

  remove (key) {
    this.#write(key, undefined)
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #write (key, value) {
    this.#revision += 1
    const created = this.#items.get(key)?.created ?? this.#revision
    this.#items.set(key, { key, value, revision: this.#revision, created, lease: 0 })
    for (const watch of [...this.#watches]) if (this.#eventsFor(watch).length > 0) this.#answerWatch(watch)
  }

  #eventsFor ({ prefix, after }) {
    const changed = [...this.#items.values()].filter(item => item.key.startsWith(prefix) && item.revision > after)
    return changed.sort((a, b) => a.revision - b.revision).map(item => item.value === undefined ? { key: item.key, revision: item.revision, deleted: true } : item)
  }

  #answerWatch (watch) {
    clearTimeout(watch.timer)
    this.#watches.delete(watch)
    this.#answer(watch.res, { events: this.#eventsFor(watch), store_revision: this.#revision })
  }

  #answer (res, body) {
    res.writeHead(200, { 'content-type': 'application/json', 'store-era': '1' }).end(JSON.stringify(body))
  }

  #handle ({ pathname, searchParams }, res) {
    const prefix = searchParams.get('prefix') ?? ''
    if (pathname === '/fuchsiaworks/kv-range') {
      const after = searchParams.get('after') ?? ''
      const items = [...this.#items.values()].filter(({ key, value }) => value !== undefined && key.startsWith(prefix) && key > after)
      return this.#answer(res, { items: items.sort((a, b) => a.key < b.key ? -1 : 1), has_more: false, store_revision: this.#revision })
    }
    if (pathname !== '/fuchsiaworks/kv-watch') return res.writeHead(404).end()
    const watch = { prefix, after: Number(searchParams.get('after')), res, timer: undefined }
    this.#watches.add(watch)
    res.on('close', () => {
      clearTimeout(watch.timer)
      this.#watches.delete(watch)
    })
    watch.timer = setTimeout(() => { this.#answerWatch(watch) }, Number(searchParams.get('wait_ms')))
    if (this.#eventsFor(watch).length > 0) this.#answerWatch(watch)
  }
}
