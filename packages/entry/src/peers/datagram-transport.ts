/** Carries short messages between hosts. One may get lost, and is made good by the next. */
export interface DatagramTransport {
  /** Begins to take messages and tells the address, with the port that was taken. */
  listen(address: string): Promise<string>;
  send(address: string, text: string): void;
  close(): void;
}

/** Makes the way by which one host sends and takes messages. */
export type CreateTransport = (onMessage: (text: string) => void) => DatagramTransport;
