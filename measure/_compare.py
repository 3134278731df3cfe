"""Reports the figures that differ between two results."""

from measure._statistics import compare
from measure._tables import format_number


def change_lines(old, new):
    """Return a line for each figure that changed by more than the noise.

    Parameters
    ----------
    old, new : Results
        Results to compare; only figures that both have are compared.

    Returns
    -------
    list of str
        A line for each changed figure, then a line with the totals.
    """
    old_samples = old.samples()
    new_samples = new.samples()
    lines = []
    shared = [key for key in new_samples if key in old_samples]
    for key in shared:
        line = _change_line(key, _values(old_samples[key]), new_samples[key])
        if line is not None:
            lines.append(line)
    lines.append(
        f"{len(lines)} of {len(shared)} figures changed by more than the"
        f" noise; {len(new_samples) - len(shared)} are new,"
        f" {len(old_samples) - len(shared)} are no longer measured"
    )
    return lines


def _change_line(key, old, figures):
    new = _values(figures)
    difference = compare(old, new)
    if not difference.is_significant:
        return None
    mean = sum(old.values()) / len(old)
    relative = f" ({difference.change / mean:+.1%})" if mean else ""
    unit = next(iter(figures.values())).unit
    return (
        f"{' '.join(key)}: {format_number(mean)} {unit} changed by"
        f" {format_number(difference.change)}{relative},"
        f" noise {format_number(difference.noise)}"
    )


def _values(figures):
    return {seed: figure.value for seed, figure in figures.items()}
