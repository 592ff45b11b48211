type Cell = string | number;

// Names come from other hosts, and their control characters could manipulate the terminal.
function formatCell(cell: Cell): string {
  const text = String(cell).replace(/[^\x20-\x7e\u00a0-\uffff]/g, '?');
  return text === '' ? '-' : text;
}

/** Formats rows as aligned columns under a header: two spaces apart, numbers aligned right. */
export default function formatTable(
  header: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  const texts = [header, ...rows].map((row) => row.map(formatCell));
  const widths = header.map((_, column) =>
    Math.max(...texts.map((row) => row[column]?.length ?? 0)),
  );
  const isRightAligned = header.map((_, column) =>
    rows.some((row) => typeof row[column] === 'number'),
  );
  return texts
    .map((row) =>
      row
        .map((text, column) => {
          const width = widths[column] ?? 0;
          return isRightAligned[column] ? text.padStart(width) : text.padEnd(width);
        })
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
