"""Says which figures moved between two results."""

from measure._statistics import compare
from measure._tables import number


def moved_lines(old, new):
    """Return a line for each figure that moved beyond the noise.

    Parameters
    ----------
    old, new : Results
        Results with the same experiments.

    Returns
    -------
    list of str
        Lines of what moved, then how many were compared.
    """
    before = old.samples()
    after = new.samples()
    lines = []
    shared = [key for key in after if key in before]
    for key in shared:
        line = _line(key, _values(before[key]), after[key])
        if line is not None:
            lines.append(line)
    lines.append(
        f"{len(lines)} of {len(shared)} figures moved beyond the noise;"
        f" {len(after) - len(shared)} are new,"
        f" {len(before) - len(shared)} are gone"
    )
    return lines


def _line(key, old, figures):
    new = _values(figures)
    difference = compare(old, new)
    if not difference.has_moved:
        return None
    mean = sum(old.values()) / len(old)
    share = f" ({difference.change / mean:+.1%})" if mean else ""
    unit = next(iter(figures.values())).unit
    return (
        f"{' '.join(key)}: {number(mean)} {unit} moved by"
        f" {number(difference.change)}{share},"
        f" noise {number(difference.noise)}"
    )


def _values(figures):
    return {seed: figure.value for seed, figure in figures.items()}
