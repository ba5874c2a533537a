import t from 'tap';
import { rackMachines, rackRecords } from '../../../lab/hollow/rack-plan.js';
import { joinReports, parseRackReport, type RackReport } from '../../../lab/hollow/rack-report.js';

const REPORT: RackReport = {
  rack: 0,
  fewestMembers: 8,
  mostMembers: 9,
  lowestRevision: 5,
  fewestGroups: 3,
  mostUnderStrength: 0,
  ready: 4,
  residentBytes: 100,
  cpuMilliseconds: 10,
  messagesSent: 7,
  bytesSent: 70,
  droppedMessages: 1,
  missing: ['one holds two for dead'],
};

t.test('the join of reports shows the node that lags most', async (t) => {
  const lagging = { ...REPORT, rack: 1, fewestMembers: 2, lowestRevision: 1, mostUnderStrength: 6 };
  const joined = joinReports([REPORT, lagging]);
  t.match(joined, { racks: 2, fewestMembers: 2, mostMembers: 9, lowestRevision: 1 });
  t.match(joined, { mostUnderStrength: 6, ready: 8, bytesSent: 140, droppedMessages: 2 });
});

t.test('only lines of reports are taken', async (t) => {
  t.strictSame(parseRackReport(JSON.stringify(REPORT)), REPORT);
  t.equal(parseRackReport('{"level":30}'), undefined);
  t.equal(parseRackReport('not JSON'), undefined);
});

t.test('no two hollow nodes share an address, and a rack lies in one zone', async (t) => {
  const machines = rackMachines(9, 40);
  t.equal(new Set(machines.flatMap((machine) => machine.nodeAddresses)).size, 360);
  t.equal(new Set(rackRecords(3, 40, 1).map((record) => record.zone)).size, 1);
});
