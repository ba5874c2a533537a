import { PassThrough, Readable } from 'node:stream';
import t from 'tap';
import { readChunks, readWhole } from '../../src/serving/read-chunks.js';

t.test('a stream that ends is read whole', async (t) => {
  const body = await readWhole(Readable.from([Buffer.from('one '), Buffer.from('two')]));
  t.equal(body?.toString(), 'one two');
});

t.test('a stream that breaks, or closes before its end, is not whole', async (t) => {
  const broken = new PassThrough();
  const read = readWhole(broken);
  broken.write('half');
  broken.destroy(new Error('reset'));
  t.equal(await read, undefined);
  const closed = new PassThrough();
  const other = readChunks(closed, () => true);
  closed.write('half');
  closed.destroy();
  t.equal(await other, 'broken');
  t.equal(await readChunks(closed, () => true), 'broken', 'it was closed before');
});

t.test('a reader that wants no more is handed nothing more', async (t) => {
  const stream = new PassThrough();
  const seen: string[] = [];
  const read = readChunks(stream, (chunk) => {
    seen.push(chunk.toString());
    return false;
  });
  stream.write('one');
  t.equal(await read, 'stopped');
  stream.end('two');
  await new Promise((resolve) => setImmediate(resolve));
  t.same(seen, ['one']);
});

t.test('more than the limit is not taken', async (t) => {
  t.equal(await readWhole(Readable.from([Buffer.alloc(6), Buffer.alloc(6)]), 10), undefined);
});
