/** Unreliable transport of short messages between hosts; each message supersedes the one before. */
export interface DatagramTransport {
  /** Starts receiving and returns the bound address with its port. */
  listen(address: string): Promise<string>;
  /** @param onFailure - called with the reason if the datagram could not be sent */
  send(address: string, datagram: Buffer, onFailure: (reason: string) => void): void;
  close(): void;
}

/** Creates the transport of one host. */
export type CreateTransport = (onMessage: (datagram: Buffer) => void) => DatagramTransport;
