import t from 'tap';
import { RouteMatcher } from '../../src/serving/route-matcher.js';
import type { Route, RouteTarget } from '../../src/serving/traffic-configuration.js';
import { configuration, route } from './serving-fixtures.js';

const matcherOf = (...routes: Route[]): RouteMatcher => new RouteMatcher(configuration(routes));

t.test('the longest prefix of the host wins', async (t) => {
  const matcher = matcherOf(
    route({ name: 'wide', pathPrefix: '/a/' }),
    route({ name: 'narrow', pathPrefix: '/a/b/' }),
    route({ name: 'elsewhere', host: 'other.example', pathPrefix: '/a/b/c/' }),
  );
  t.equal(matcher.match('site.example', '/a/b/c/d')?.name, 'narrow');
  t.equal(matcher.match('site.example', '/a/x')?.name, 'wide');
  t.equal(matcher.match('other.example', '/a/b/c/d')?.name, 'elsewhere');
});

t.test('host names match regardless of case and port', async (t) => {
  const matcher = matcherOf(route({ name: 'only' }));
  t.equal(matcher.match('SITE.example:8080', '/a/')?.name, 'only');
});

t.test('another host, or a path that only shares leading letters, matches no route', async (t) => {
  const matcher = matcherOf(route({ pathPrefix: '/ab/' }));
  t.equal(matcher.match('none.example', '/ab/'), undefined);
  t.equal(matcher.match('site.example', '/abc'), undefined);
});

t.test('targets get their exact shares over a cycle of picks', async (t) => {
  const targets: RouteTarget[] = [
    { service: 'one', weight: 90 },
    { service: 'two', weight: 10 },
    { service: 'none', weight: 0 },
  ];
  const split = route({ targets });
  const matcher = matcherOf(split);
  const counts = new Map<string, number>();
  for (let pick = 0; pick < 300; pick += 1) {
    const service = matcher.nextService(split) ?? 'missing';
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  t.same([...counts].sort(), [
    ['one', 270],
    ['two', 30],
  ]);
});

t.test('a route without targets has no next service', async (t) => {
  const empty = route({ targets: [] });
  t.equal(matcherOf(empty).nextService(empty), undefined);
});
