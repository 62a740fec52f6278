/** Accepts the newest valid configuration from the configuration service or from peers, announces it to peers, and never reverts to an older revision. */
import { assertNever, type Millis } from '@fuchsiaworks/kernel'
import type { RevisionDb } from './revisionDb.js'
import type { RevisionCommand, RevisionEvent } from './revisionTypes.js'

/** Announces the accepted revision to a peer that is not known to have it. */
const sendRevision = (db: RevisionDb, link: string): RevisionCommand[] => {
  if ((db.peers.get(link) ?? 0) >= db.accepted) return []
  db.raisePeerRevision(link, db.accepted)
  return [{ kind: 'send-revision', link, revision: db.accepted, withDocuments: false }]
}

/** Requests documents from one peer with a newer revision, and after a timeout from another one if there is one. */
const requestDocuments = (db: RevisionDb, now: Millis): RevisionCommand[] => {
  if (db.pendingRequest !== undefined && now - db.pendingRequest.at < db.config.requestTimeout) return []
  const [link] = db.linksWithNewer()
  db.pendingRequest = link === undefined ? undefined : { link, at: now }
  return link === undefined ? [] : [{ kind: 'request-documents', link, revision: db.accepted }]
}

const onDocuments = (db: RevisionDb, event: Extract<RevisionEvent, { kind: 'documents-received' }>): RevisionCommand[] => {
  const { revision, result } = event
  if (event.link !== undefined) db.raisePeerRevision(event.link, revision)
  if (event.link !== undefined && event.link === db.pendingRequest?.link) db.pendingRequest = undefined
  if (revision <= db.accepted || db.isRefused(revision)) return []
  switch (result.kind) {
    case 'findings':
      db.refuse(revision)
      return [{ kind: 'refuse-with-findings', revision, findings: result.findings }]
    case 'accepted': {
      db.accepted = revision
      if ((db.peers.get(db.pendingRequest?.link ?? '') ?? 0) <= revision) db.pendingRequest = undefined
      const updates = [...db.peers.keys()].flatMap(link => sendRevision(db, link))
      return [{ kind: 'accept', revision }, ...updates, ...requestDocuments(db, event.now)]
    }
    default:
      return assertNever(result)
  }
}

const onPeerRevision = (db: RevisionDb, event: Extract<RevisionEvent, { kind: 'peer-revision' }>): RevisionCommand[] => {
  db.raisePeerRevision(event.link, event.revision)
  return requestDocuments(db, event.now)
}

const onDocumentsRequested = (db: RevisionDb, event: Extract<RevisionEvent, { kind: 'documents-requested' }>): RevisionCommand[] => {
  if (db.accepted <= event.revision) return []
  db.raisePeerRevision(event.link, db.accepted)
  return [{ kind: 'send-revision', link: event.link, revision: db.accepted, withDocuments: true }]
}

const onLinkUp = (db: RevisionDb, link: string): RevisionCommand[] => {
  db.peers.set(link, db.accepted)
  const announcement: RevisionCommand = { kind: 'send-revision', link, revision: db.accepted, withDocuments: false }
  if (db.config.alwaysWatch) return [announcement]
  db.watchAt = undefined
  if (!db.watching) return [announcement]
  db.watching = false
  return [announcement, { kind: 'stop-watching' }]
}

/** Schedules a watch of the configuration service by an agent without links; the random delay spreads the agents that lose their links together. */
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
  return requestDocuments(db, event.now)
}

const onTick = (db: RevisionDb, now: Millis, random: number): RevisionCommand[] => {
  planWatch(db, now, random)
  const requests = requestDocuments(db, now)
  if (db.watching || db.watchAt === undefined || now < db.watchAt) return requests
  db.watching = true
  db.watchAt = undefined
  return [...requests, { kind: 'watch', above: db.floor }]
}

/**
 * Applies one event and returns the resulting commands.
 *
 * @param db - revisions known to this process; changed in place
 * @param event - the event
 * @returns the commands, in order of execution
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
      return onDocumentsRequested(db, event)
    case 'service-down':
      onServiceDown(db, event.now, event.random)
      return []
    case 'tick':
      return onTick(db, event.now, event.random)
    default:
      return assertNever(event)
  }
}
