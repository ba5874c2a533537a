/** Renders a JSON document as indented text; a list of flat records becomes a table. */

type Fields = Readonly<Record<string, unknown>>;

const INDENT = '  ';
const COLUMN_GAP = '  ';

export function renderDocument(document: unknown): string[] {
  return renderValue(document, '');
}

function renderValue(value: unknown, indent: string): string[] {
  if (Array.isArray(value)) return renderList(value, indent);
  if (!isFields(value)) return [indent + cell(value)];
  return Object.entries(value).flatMap(([name, part]) => {
    if (isSimple(part)) return [`${indent}${name}: ${cell(part)}`];
    return [`${indent}${name}:`, ...renderValue(part, indent + INDENT)];
  });
}

function renderList(list: readonly unknown[], indent: string): string[] {
  const records = list.filter(isFields);
  const isTable =
    records.length === list.length &&
    records.every((record) => Object.values(record).every(isSimple));
  if (isTable) return renderTable(records, indent);
  return list.flatMap((item, position) => {
    if (isSimple(item)) return [`${indent}- ${cell(item)}`];
    return [`${indent}- ${position + 1}:`, ...renderValue(item, indent + INDENT)];
  });
}

function renderTable(records: readonly Fields[], indent: string): string[] {
  const columns = [...new Set(records.flatMap((record) => Object.keys(record)))];
  const rows = [columns, ...records.map((record) => columns.map((column) => cell(record[column])))];
  const widths = columns.map((_, index) =>
    Math.max(...rows.map((row) => (row[index] ?? '').length)),
  );
  return rows.map((row) => {
    const cells = row.map((text, index) => text.padEnd(widths[index] ?? 0));
    return (indent + cells.join(COLUMN_GAP)).trimEnd();
  });
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Whether a value is a scalar or a list of scalars, which are rendered on one line. */
function isSimple(value: unknown): boolean {
  if (Array.isArray(value)) return value.every((item) => typeof item !== 'object');
  return typeof value !== 'object' || value === null;
}

function cell(value: unknown): string {
  if (value === null || value === undefined) return '-';
  if (Array.isArray(value)) return value.length === 0 ? '(none)' : value.join(', ');
  return String(value);
}
