/** Ends a connection as a process that crashes does. */
import type { Socket } from 'node:net'

/** Resets a connection. Node.js fails to reset one that is just being shut down, and leaves it open: such a connection is closed instead. */
export const resetSocket = (socket: Socket): void => {
  const isShuttingDown = socket.writableEnded && socket.writableLength === 0 && !socket.writableFinished
  if (isShuttingDown) socket.destroy()
  else socket.resetAndDestroy()
}
