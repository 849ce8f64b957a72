import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const SETTLE_ROUNDS = 3;

/** Bytes in use on the heap and in array buffers, after garbage has been collected. */
export async function heapInUse(): Promise<number> {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  for (let round = 0; round < SETTLE_ROUNDS; round++) {
    collect();
    await new Promise((resolve) => setImmediate(resolve));
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
