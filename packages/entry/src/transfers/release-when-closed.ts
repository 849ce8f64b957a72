import type { ServerResponse } from 'node:http';

/** Calls back once a caller has taken its response, or has left. */
export function releaseWhenClosed(response: ServerResponse | undefined, release: () => void): void {
  if (response === undefined || response.destroyed) {
    release();
    return;
  }
  const { socket } = response.req;
  const onClose = (): void => {
    response.off('close', onClose);
    socket.off('close', onClose);
    release();
  };
  response.once('close', onClose);
  if (response.socket === null) {
    // A response that waits behind others of its connection does not tell that the caller has left.
    socket.once('close', onClose);
  }
}
