/** Record of a case: what was sent, answered and run, with the time since its start. */
import { appendFileSync, writeFileSync } from 'node:fs';

export class Record {
  #path;
  #startedAt = Date.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, '');
  }

  write(text) {
    const seconds = ((Date.now() - this.#startedAt) / 1000).toFixed(3);
    appendFileSync(this.#path, `${seconds.padStart(8)} ${text}\n`);
  }
}
