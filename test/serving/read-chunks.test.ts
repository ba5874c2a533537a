import { PassThrough, Readable } from 'node:stream';
import t from 'tap';
import { readAll, readChunks } from '../../src/serving/read-chunks.js';

t.test('a stream that ends is returned complete', async (t) => {
  const body = await readAll(Readable.from([Buffer.from('one '), Buffer.from('two')]), 100);
  t.equal(body?.toString(), 'one two');
});

t.test('a stream that breaks, or closes before its end, is reported as broken', async (t) => {
  const broken = new PassThrough();
  const read = readAll(broken, 100);
  broken.write('half');
  broken.destroy(new Error('connection reset'));
  t.equal(await read, undefined);
  const closed = new PassThrough();
  const closedResult = readChunks(closed, () => true);
  closed.write('half');
  closed.destroy();
  t.equal(await closedResult, 'broken');
  t.equal(await readChunks(closed, () => true), 'broken', 'closed before reading');
});

t.test('a reader that stops receives no further chunks', async (t) => {
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

t.test('a stream above the limit is not returned', async (t) => {
  t.equal(await readAll(Readable.from([Buffer.alloc(6), Buffer.alloc(6)]), 10), undefined);
});
