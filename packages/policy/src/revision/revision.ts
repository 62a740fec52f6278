/** Takes the newest valid configuration from the service or from peers, passes it on, and never goes back. */
import { assertNever, getOrMake, type Millis } from '@fuchsiaworks/kernel'
import type { PeerRevision, RevisionDb } from './revisionDb.js'
import type { RevisionCommand, RevisionEvent } from './revisionTypes.js'

const peerOf = (db: RevisionDb, link: string): PeerRevision => getOrMake(db.peers, link, () => ({ known: 0, askedAt: -Infinity }))

/** Sends the revision in force to a peer that is behind. */
const tell = (db: RevisionDb, link: string, peer: PeerRevision): RevisionCommand[] => {
  if (db.accepted === 0 || peer.known >= db.accepted) return []
  peer.known = db.accepted
  return [{ kind: 'tell-peer', link, revision: db.accepted, withDocuments: true }]
}

const ask = (db: RevisionDb, link: string, peer: PeerRevision, now: Millis): RevisionCommand[] => {
  if (peer.known <= db.accepted || db.isRefused(peer.known)) return []
  if (now - peer.askedAt < db.config.askAgain) return []
  peer.askedAt = now
  return [{ kind: 'ask-peer', link, revision: db.accepted }]
}

const onDocuments = (db: RevisionDb, event: Extract<RevisionEvent, { kind: 'documents-received' }>): RevisionCommand[] => {
  const { revision, result } = event
  if (event.link !== undefined) {
    const peer = peerOf(db, event.link)
    peer.known = Math.max(peer.known, revision)
  }
  if (revision <= db.accepted || db.isRefused(revision)) return []
  switch (result.kind) {
    case 'findings':
      db.refuse(revision)
      return [{ kind: 'refuse-with-findings', revision, findings: result.findings }]
    case 'accepted': {
      db.accepted = revision
      const told = [...db.peers].flatMap(([link, peer]) => tell(db, link, peer))
      return [{ kind: 'accept', revision }, ...told]
    }
    default:
      return assertNever(result)
  }
}

const onPeerRevision = (db: RevisionDb, event: Extract<RevisionEvent, { kind: 'peer-revision' }>): RevisionCommand[] => {
  const peer = peerOf(db, event.link)
  peer.known = event.revision
  return [...tell(db, event.link, peer), ...ask(db, event.link, peer, event.now)]
}

const onLinkUp = (db: RevisionDb, event: Extract<RevisionEvent, { kind: 'link-up' }>): RevisionCommand[] => {
  db.peers.set(event.link, { known: 0, askedAt: -Infinity })
  const hello: RevisionCommand = { kind: 'tell-peer', link: event.link, revision: db.accepted, withDocuments: false }
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

const onTick = (db: RevisionDb, now: Millis, random: number): RevisionCommand[] => {
  planWatch(db, now, random)
  const asks = [...db.peers].flatMap(([link, peer]) => ask(db, link, peer, now))
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
      return onLinkUp(db, event)
    case 'link-down':
      db.peers.delete(event.link)
      planWatch(db, event.now, event.random)
      return []
    case 'peer-revision':
      return onPeerRevision(db, event)
    case 'service-down':
      onServiceDown(db, event.now, event.random)
      return []
    case 'tick':
      return onTick(db, event.now, event.random)
    default:
      return assertNever(event)
  }
}
