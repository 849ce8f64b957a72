/** Unreliable transport of short messages between hosts; each message supersedes the one before. */
export interface DatagramTransport {
  /** Starts receiving and returns the bound address with its port. */
  listen(address: string): Promise<string>;
  send(address: string, text: string): void;
  close(): void;
}

/** Creates the transport of one host. */
export type CreateTransport = (onMessage: (text: string) => void) => DatagramTransport;
