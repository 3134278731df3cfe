"""Formats results as tables and lines of text."""

import math

from apricotseam.errors import InvalidFileError
from measure._statistics import summarize

SIGNIFICANT_DIGITS = 4
NOT_MEASURED = "not measured"


class Row:
    """One figure of one variant, summarized over all seeds.

    ``is_checked`` is whether the figure has to meet its bound.
    """

    __slots__ = ("bound", "is_checked", "is_upper", "name", "summary", "unit")

    def __init__(self, figures, is_checked):
        first = figures[0]
        self.name = first.name
        self.unit = first.unit
        self.bound = first.bound
        self.is_upper = first.is_upper
        self.is_checked = is_checked and first.bound is not None
        self.summary = summarize([figure.value for figure in figures])

    @property
    def is_met(self):
        """Whether the median meets the bound; True if it is not checked."""
        if not self.is_checked:
            return True
        if self.is_upper:
            return self.summary.median <= self.bound
        return self.summary.median >= self.bound

    @property
    def verdict(self):
        """Text of the table's last column."""
        if not self.is_checked:
            return ""
        return "met" if self.is_met else "**NOT MET**"


def rows_of(results, experiment):
    """Return the rows of an experiment by variant.

    Variants are in the order of the experiment. Only the first, which is
    the router as shipped, is checked against the bounds.

    Returns
    -------
    dict of str to list of Row
        Rows in the order of the figures.
    """
    variants = {}
    for outcome in results.outcomes_of(experiment.name):
        figures = variants.setdefault(outcome.variant, {})
        for figure in outcome.figures:
            figures.setdefault(figure.name, []).append(figure)
    return {
        variant: [
            Row(samples, variant == experiment.variants[0])
            for samples in variants[variant].values()
        ]
        for variant in experiment.variants
        if variant in variants
    }


def failure_lines(results, experiments):
    """Return a line for each bound that is not met and each failed run."""
    lines = []
    for experiment in experiments:
        variants = rows_of(results, experiment)
        for variant, rows in variants.items():
            lines.extend(
                f"{experiment.name} {variant}: {row.name} is"
                f" {format_number(row.summary.median)} {row.unit}, bound"
                f" {format_number(row.bound)}"
                for row in rows
                if not row.is_met
            )
        lines.extend(
            f"{o.experiment} {o.variant} seed {o.seed}: {o.error}"
            for o in results.outcomes_of(experiment.name)
            if o.error
        )
    return lines


def experiment_section(results, experiment):
    """Return the Markdown section of one experiment.

    It has a heading, the description, the table of figures and a list of
    failed runs.
    """
    outcomes = results.outcomes_of(experiment.name)
    revisions = sorted({o.revision for o in outcomes})
    seeds = sorted({o.seed for o in outcomes})
    lines = [
        f"### {experiment.name}",
        "",
        experiment.about,
        "",
        f"`python -m measure run {experiment.name}`; revision"
        f" {', '.join(revisions)}; seeds {', '.join(map(str, seeds))}.",
        "",
        "| variant | figure | median | lowest to highest | unit | bound |"
        " verdict |",
        "|---|---|---|---|---|---|---|",
    ]
    for variant, rows in rows_of(results, experiment).items():
        lines.extend(_table_line(variant, row) for row in rows)
    failed = [o for o in outcomes if o.error]
    if failed:
        lines.append("")
    for outcome in failed:
        lines.append(
            f"- FAILED: {outcome.variant}, seed {outcome.seed}:"
            f" {outcome.error}"
        )
    return "\n".join(lines)


def replace_marked(text, name, body):
    """Return a page with the text between two markers replaced.

    Parameters
    ----------
    text : str
        Text of the page.
    name : str
        Name in the markers.
    body : str
        Text to put between the markers.

    Raises
    ------
    InvalidFileError
        If the page does not have both markers.

    Examples
    --------
    >>> page = "a\\n<!-- begin x -->\\nold\\n<!-- end x -->\\nb"
    >>> print(replace_marked(page, "x", "new"))
    a
    <!-- begin x -->
    <BLANKLINE>
    new
    <BLANKLINE>
    <!-- end x -->
    b
    """
    begin = f"<!-- begin {name} -->"
    end = f"<!-- end {name} -->"
    head, found_begin, rest = text.partition(begin)
    _, found_end, tail = rest.partition(end)
    if not found_begin or not found_end:
        raise InvalidFileError(
            f"the page does not have the markers {begin} and {end}",
            "add both markers to the page",
        )
    return f"{head}{begin}\n\n{body}\n\n{end}{tail}"


def format_number(value):
    """Return a value as text with four significant digits.

    For None and NaN the text is ``not measured``.

    Examples
    --------
    >>> format_number(1234567.0), format_number(0.00012345), format_number(2.0)
    ('1,235,000', '0.0001234', '2')
    """
    if value is None or math.isnan(value):
        return NOT_MEASURED
    if value == 0:
        return "0"
    rounded = float(f"{value:.{SIGNIFICANT_DIGITS}g}")
    if abs(rounded) >= 1000:
        return f"{rounded:,.0f}"
    text = f"{rounded:.12f}".rstrip("0").rstrip(".")
    return text if abs(rounded) >= 1e-9 else f"{rounded:g}"


def _table_line(variant, row):
    summary = row.summary
    bound = ""
    if row.bound is not None:
        sign = "≤" if row.is_upper else "≥"
        bound = f"{sign} {format_number(row.bound)}"
    cells = [
        variant,
        row.name,
        format_number(summary.median),
        f"{format_number(summary.lowest)} to {format_number(summary.highest)}",
        row.unit,
        bound,
        row.verdict,
    ]
    return "| " + " | ".join(cells) + " |"
