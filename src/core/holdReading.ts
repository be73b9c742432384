/** Stops reading a connection, whatever its streams ask for. */

import type {Duplex} from 'node:stream';

/** Returns a function that goes on reading, unless another hold is left. */
export function holdReading(socket: Duplex): () => void {
  const pause = () => void socket.pause();
  // A message on the connection resumes it after each part that it received.
  socket.on('resume', pause);
  socket.pause();
  return () => {
    socket.off('resume', pause);
    socket.resume();
  };
}
