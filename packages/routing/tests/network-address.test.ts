import { expect, it } from 'vitest';
import { networkAddressSchema } from '../src/index.js';

it.each(['10.1.0.34:8548', '127.0.0.1:1', '255.0.0.1:65535'])('accepts %j', (text) => {
  expect(networkAddressSchema.parse(text)).toBe(text);
});

it.each([
  '',
  ':',
  '127.0.0.1',
  '127.0.0.1:',
  '127.0.0.1:0',
  '127.0.0.1:65536',
  '127.0.0.1:-1',
  '127.0.0.1:8o',
  '127.0.0.1:1.5',
  '127.0.0.1:1e3',
  '127.0.0.1: 80',
  '127.0.0.1:080',
  '127.0.0.1:80\n',
  '127.0.0.256:80',
  '127.0.0.1:80:80',
  '127.0.1:80',
  ':80',
  '::1',
  '[::1]:80',
  'example.com:80',
  'http://127.0.0.1:80',
  '\u0000:80',
])('rejects %j', (text) => {
  expect(networkAddressSchema.safeParse(text).success).toBe(false);
});
