"""Output of the results of commands as tables or JSON."""

import msgspec


def show(record, output):
    """Print a record as a table or as JSON.

    Parameters
    ----------
    record : object
        A `msgspec.Struct`, a list or a dict.
    output : str
        ``table`` or ``json``.

    Examples
    --------
    >>> show({"revision": 3}, "table")
    revision  3
    >>> show({"revision": 3}, "json")
    {"revision":3}
    """
    if output == "json":
        print(msgspec.json.encode(record).decode())
        return
    plain = msgspec.to_builtins(record)
    rows = plain if isinstance(plain, list) else [plain]
    for row in rows:
        _show_row(row)


def _show_row(row):
    if not isinstance(row, dict):
        print(row)
        return
    width = max(len(key) for key in row)
    for key, value in row.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            print(f"{key}:")
            _show_table(value)
        else:
            print(f"{key:<{width}}  {value}")


def _show_table(rows):
    columns = list(rows[0])
    cells = [columns, *([str(row[c]) for c in columns] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print("  " + "  ".join(padded).rstrip())
