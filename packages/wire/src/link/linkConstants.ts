/** Timeouts and size limits of connections, shared by both ends. */

/** Handshake timeout in milliseconds, counted from the TCP connection. */
export const HANDSHAKE_TIMEOUT_MS = 5_000

/** Maximum bytes that a peer may send before it is authenticated, including TLS and the WebSocket upgrade. */
export const MAX_HANDSHAKE_BYTES = 16 * 1024

/** Maximum number of concurrent handshakes at one port; beyond it, the oldest connection is dropped. */
export const MAX_HALF_OPEN = 256

/** Maximum size of a frame in bytes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024

/** Bytes of a frame reserved for its header. */
const RESERVED_HEADER_BYTES = 64

/** Maximum size of an encoded message in bytes. */
export const MAX_MESSAGE_BYTES = MAX_FRAME_BYTES - RESERVED_HEADER_BYTES

/** Minimum handshake timeout of the dialing end in milliseconds, even if `silence` is shorter. */
export const MIN_DIAL_TIMEOUT_MS = 1_000

/** Bytes in a connection's socket buffer at which a session stops sending frames. */
export const MAX_SOCKET_BUFFER_BYTES = 1024 * 1024

/** Time in milliseconds that a closing connection has to send its last frames before it is terminated. */
export const CLOSE_GRACE_MS = 500

/** Default limit of the unacknowledged bytes of a session. */
export const DEFAULT_BUFFER_LIMIT_BYTES = 8 * 1024 * 1024
