/** Which domains a node's disk may keep. */
import t from 'tap';
import { DiskResidency } from '../../src/node/disk-residency.js';

t.test('the disk hears of each change of the domains that name its zone', async (t) => {
  const residency = new DiskResidency();
  const both = { name: 'both', zones: ['east', 'west'] };
  const west = { name: 'west', zones: ['west'] };
  const update = (domains: (typeof both)[]) => residency.update(domains, 'east');
  t.same(update([west, both]), { kind: 'keep-domains', domains: ['both'] });
  t.equal(update([both, west]), null);
  t.same(update([{ ...both, zones: ['west'] }, west]), { kind: 'keep-domains', domains: [] });
  t.equal(update([]), null);
});
