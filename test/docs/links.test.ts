import { existsSync, mkdirSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import t from 'tap';

/** The root of the project, seen from the compiled test. */
const ROOT = path.join(import.meta.dirname, '..', '..', '..');
/** A link in Markdown, image or not: the target stands in round brackets, a title may follow. */
const LINK_PATTERN = /\]\(\s*<?([^\s)>]+)>?(?:\s+"[^"]*")?\s*\)/g;
/** A reference definition, as in `[name]: target`. */
const REFERENCE_PATTERN = /^\s*\[[^\]]+\]:\s*<?([^\s>]+)>?/gm;
/** What starts with a scheme leads out of the project. */
const SCHEME_PATTERN = /^[a-z][a-z0-9+.-]*:/i;

/** Pages below a folder, as paths from the root. */
function pagesBelow(root: string, folder: string): string[] {
  return readdirSync(path.join(root, folder), { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.md'))
    .map((name) => path.join(folder, name));
}

function withoutCode(text: string): string {
  return text.replace(/^```.*?^```/gms, '').replace(/`[^`\n]*`/g, '');
}

/** Relative links of a page, without their fragments. */
function relativeLinks(text: string): string[] {
  const prose = withoutCode(text);
  return [...prose.matchAll(LINK_PATTERN), ...prose.matchAll(REFERENCE_PATTERN)]
    .map((match) => match[1] ?? '')
    .filter((target) => !SCHEME_PATTERN.test(target))
    .map((target) => decodeURIComponent(target.replace(/#.*$/, '')))
    .filter((target) => target !== '');
}

/** Links of the pages that lead to no file or folder, each as `page -> target`. */
function brokenLinks(root: string, pages: readonly string[]): string[] {
  return pages.flatMap((page) =>
    relativeLinks(readFileSync(path.join(root, page), 'utf8'))
      .filter((target) => !existsSync(path.join(root, path.dirname(page), target)))
      .map((target) => `${page} -> ${target}`),
  );
}

t.test('every relative link of README.md and docs leads to a file', async (t) => {
  const pages = ['README.md', ...pagesBelow(ROOT, 'docs')];
  const links = pages.flatMap((page) => relativeLinks(readFileSync(path.join(ROOT, page), 'utf8')));
  t.ok(links.length > 0, 'links are found');
  t.same(brokenLinks(ROOT, pages), []);
});

t.test('indexes name every page of their folder', async (t) => {
  const indexes = {
    'docs/DESIGN.md': 'docs/design',
    'docs/OPERATIONS/README.md': 'docs/OPERATIONS',
  };
  for (const [index, folder] of Object.entries(indexes)) {
    const links = relativeLinks(readFileSync(path.join(ROOT, index), 'utf8'));
    const named = new Set(links.map((link) => path.join(path.dirname(index), link)));
    const pages = pagesBelow(ROOT, folder).filter((page) => page !== index);
    t.same(
      pages.filter((page) => !named.has(page)),
      [],
      index,
    );
  }
});

t.test('the check finds broken links, and only these', async (t) => {
  const root = t.testdir({ 'there.md': '', 'plot.svg': '' });
  mkdirSync(path.join(root, 'deep'));
  const text = [
    '[a](../there.md#part) ![b](../plot.svg "title") [c](https://example.org/x.md) [d](#here)',
    '[e](gone.md) and ![f](<../gone.svg>), `[g](code.md)`',
    '```',
    '[h](code.md)',
    '```',
    '[i]: ../gone-too.md',
  ];
  writeFileSync(path.join(root, 'deep', 'page.md'), text.join('\n'));
  t.same(brokenLinks(root, pagesBelow(root, 'deep')), [
    'deep/page.md -> gone.md',
    'deep/page.md -> ../gone.svg',
    'deep/page.md -> ../gone-too.md',
  ]);
});
