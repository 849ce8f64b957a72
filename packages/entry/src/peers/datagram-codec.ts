import { constants, deflateRawSync, inflateRawSync } from 'node:zlib';

/** Shorter messages gain too little. */
const MIN_COMPRESSED_LENGTH = 512;
/** Limit on the text of a message, far above what its sections allow. */
const MAX_TEXT_BYTES = 1024 * 1024;
/** First byte of a message that is not compressed; no compressed one begins with it. */
const PLAIN_START = '{'.charCodeAt(0);
/** Precedes compressed bytes. */
const COMPRESSED_START = 1;

/** Fast, and with little memory: messages are some kilobytes long and written often. */
const COMPRESSION = { level: constants.Z_BEST_SPEED, windowBits: 13, memLevel: 6 };

/** Encodes a message, compressed if it is not short. */
export function encodeDatagram(text: string): Buffer {
  const plain = Buffer.from(text);
  return plain.length < MIN_COMPRESSED_LENGTH
    ? plain
    : Buffer.concat([Buffer.of(COMPRESSED_START), deflateRawSync(plain, COMPRESSION)]);
}

/**
 * Decodes a message.
 *
 * @throws Error if the bytes are no message, or one that is too long
 */
export function decodeDatagram(bytes: Buffer): string {
  return bytes[0] === PLAIN_START
    ? bytes.toString()
    : inflateRawSync(bytes.subarray(1), { maxOutputLength: MAX_TEXT_BYTES }).toString();
}
