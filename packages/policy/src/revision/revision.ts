/** Takes the newest valid configuration from the service or from peers, passes it on, and never goes back. */
import { assertNever, type Millis } from '@fuchsiaworks/kernel'
import type { RevisionDb } from './revisionDb.js'
import type { RevisionCommand, RevisionEvent } from './revisionTypes.js'

/** Tells a peer of the revision in force, if it is not known to have it. */
const tell = (db: RevisionDb, link: string): RevisionCommand[] => {
  if ((db.peers.get(link) ?? 0) >= db.accepted) return []
  db.raisePeer(link, db.accepted)
  return [{ kind: 'send-revision', link, revision: db.accepted, withDocuments: false }]
}

/** Asks one peer that is ahead, and another one when no answer comes. */
const ask = (db: RevisionDb, now: Millis): RevisionCommand[] => {
  if (db.pendingRequest !== undefined && now - db.pendingRequest.at < db.config.requestTimeout) return []
  const [link] = db.linksAhead()
  db.pendingRequest = link === undefined ? undefined : { link, at: now }
  return link === undefined ? [] : [{ kind: 'request-documents', link, revision: db.accepted }]
}

const onDocuments = (db: RevisionDb, event: Extract<RevisionEvent, { kind: 'documents-received' }>): RevisionCommand[] => {
  const { revision, result } = event
  if (event.link !== undefined) db.raisePeer(event.link, revision)
  if (event.link !== undefined && event.link === db.pendingRequest?.link) db.pendingRequest = undefined
  if (revision <= db.accepted || db.isRefused(revision)) return []
  switch (result.kind) {
    case 'findings':
      db.refuse(revision)
      return [{ kind: 'refuse-with-findings', revision, findings: result.findings }]
    case 'accepted': {
      db.accepted = revision
      if ((db.peers.get(db.pendingRequest?.link ?? '') ?? 0) <= revision) db.pendingRequest = undefined
      const told = [...db.peers.keys()].flatMap(link => tell(db, link))
      return [{ kind: 'accept', revision }, ...told, ...ask(db, event.now)]
    }
    default:
      return assertNever(result)
  }
}

const onPeerRevision = (db: RevisionDb, event: Extract<RevisionEvent, { kind: 'peer-revision' }>): RevisionCommand[] => {
  db.raisePeer(event.link, event.revision)
  return ask(db, event.now)
}

const onPeerAsked = (db: RevisionDb, event: Extract<RevisionEvent, { kind: 'documents-requested' }>): RevisionCommand[] => {
  if (db.accepted <= event.revision) return []
  db.raisePeer(event.link, db.accepted)
  return [{ kind: 'send-revision', link: event.link, revision: db.accepted, withDocuments: true }]
}

const onLinkUp = (db: RevisionDb, link: string): RevisionCommand[] => {
  db.peers.set(link, db.accepted)
  const hello: RevisionCommand = { kind: 'send-revision', link, revision: db.accepted, withDocuments: false }
  if (db.config.alwaysWatch) return [hello]
  db.watchAt = undefined
  if (!db.watching) return [hello]
  db.watching = false
  return [hello, { kind: 'stop-watching' }]
}

/** Plans the next watch of an agent without links. */
const planWatch = (db: RevisionDb, now: Millis, random: number): void => {
  if (db.config.alwaysWatch || db.peers.size > 0 || db.watching || db.watchAt !== undefined) return
  db.watchAt = now + db.config.watchAfter + random * db.config.watchJitter
}

const onServiceDown = (db: RevisionDb, now: Millis, random: number): void => {
  db.watching = false
  if (db.config.alwaysWatch) db.watchAt = now + random * db.config.watchJitter
  else planWatch(db, now, random)
}

const onLinkDown = (db: RevisionDb, event: Extract<RevisionEvent, { kind: 'link-down' }>): RevisionCommand[] => {
  db.peers.delete(event.link)
  planWatch(db, event.now, event.random)
  if (db.pendingRequest?.link !== event.link) return []
  db.pendingRequest = undefined
  return ask(db, event.now)
}

const onTick = (db: RevisionDb, now: Millis, random: number): RevisionCommand[] => {
  planWatch(db, now, random)
  const asks = ask(db, now)
  if (db.watching || db.watchAt === undefined || now < db.watchAt) return asks
  db.watching = true
  db.watchAt = undefined
  return [...asks, { kind: 'watch', above: db.floor }]
}

/**
 * Takes one event and returns the commands that follow from it.
 *
 * @param db - revisions as this process sees them; changed in place
 * @param event - what was heard
 * @returns the commands, in the order in which they are to be carried out
 */
export const decideRevision = (db: RevisionDb, event: RevisionEvent): RevisionCommand[] => {
  switch (event.kind) {
    case 'documents-received':
      return onDocuments(db, event)
    case 'link-up':
      return onLinkUp(db, event.link)
    case 'link-down':
      return onLinkDown(db, event)
    case 'peer-revision':
      return onPeerRevision(db, event)
    case 'documents-requested':
      return onPeerAsked(db, event)
    case 'service-down':
      onServiceDown(db, event.now, event.random)
      return []
    case 'tick':
      return onTick(db, event.now, event.random)
    default:
      return assertNever(event)
  }
}
