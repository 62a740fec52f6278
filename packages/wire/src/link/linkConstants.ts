/** Bounds of connections that both ends share. */

/** Milliseconds that a handshake may take, from the TCP connection on. */
export const HANDSHAKE_TIMEOUT_MS = 5_000

/** Bytes that a peer may send before it is authenticated, with the WebSocket upgrade and TLS. */
export const MAX_HANDSHAKE_BYTES = 16 * 1024

/** Handshakes that may be under way at one port; the oldest gives way to a newer one. */
export const MAX_HALF_OPEN = 256

/** Bytes of a frame. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024

/** Bytes of a frame that are left for its header. */
const RESERVED_HEADER_BYTES = 64

/** Bytes of an encoded message. */
export const MAX_MESSAGE_BYTES = MAX_FRAME_BYTES - RESERVED_HEADER_BYTES

/** Milliseconds that a dialing end waits for the end of a handshake at least, also when its `silence` is shorter. */
export const MIN_DIAL_TIMEOUT_MS = 1_000

/** Bytes that may wait in a connection's socket buffer before a session holds further frames back. */
export const MAX_SOCKET_BUFFER_BYTES = 1024 * 1024

/** Milliseconds that a closing connection has to send its last frames. */
export const CLOSE_GRACE_MS = 500

/** Bytes that may wait for a peer's confirmation unless the options say otherwise. */
export const DEFAULT_BUFFER_LIMIT_BYTES = 8 * 1024 * 1024
