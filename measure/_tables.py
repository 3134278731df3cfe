"""Writes the tables of the documentation from results."""

import math

from apricotseam.errors import InvalidFileError
from measure._statistics import summarize

SIGNIFICANT_DIGITS = 4
NOT_MEASURED = "not measured"


class Row:
    """One figure of one variant over all its seeds."""

    __slots__ = ("bound", "is_judged", "is_upper", "name", "summary", "unit")

    def __init__(self, figures, is_judged):
        first = figures[0]
        self.name = first.name
        self.unit = first.unit
        self.bound = first.bound
        self.is_upper = first.is_upper
        self.is_judged = is_judged and first.bound is not None
        self.summary = summarize([figure.value for figure in figures])

    @property
    def is_met(self):
        """Whether the median meets the bound; True if it is not judged."""
        if not self.is_judged:
            return True
        if self.is_upper:
            return self.summary.median <= self.bound
        return self.summary.median >= self.bound

    @property
    def verdict(self):
        """The word in the table's last column."""
        if not self.is_judged:
            return ""
        return "met" if self.is_met else "**NOT MET**"


def rows_of(results, experiment):
    """Return `Row` lists by variant, the product's variant first.

    Only the first variant is held against the bounds.
    """
    variants = {}
    for outcome in results.of(experiment.name):
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


def unmet(results, experiments):
    """Return a line for each bound not met and each run that failed."""
    lines = []
    for experiment in experiments:
        variants = rows_of(results, experiment)
        for variant, rows in variants.items():
            lines.extend(
                f"{experiment.name} {variant}: {row.name} is"
                f" {number(row.summary.median)} {row.unit}, bound"
                f" {number(row.bound)}"
                for row in rows
                if not row.is_met
            )
        lines.extend(
            f"{o.experiment} {o.variant} seed {o.seed}: {o.error}"
            for o in results.of(experiment.name)
            if o.error
        )
    return lines


def experiment_section(results, experiment):
    """Return the heading, sentence and table of one experiment."""
    outcomes = results.of(experiment.name)
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
        lines.extend(_line(variant, row) for row in rows)
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
    """Return a page with the part between two markers replaced.

    Raises
    ------
    InvalidFileError
        If the page has no such markers.

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
    head, found, rest = text.partition(begin)
    _, ended, tail = rest.partition(end)
    if not found or not ended:
        raise InvalidFileError(
            f"no markers {begin} and {end}", "put them into the page"
        )
    return f"{head}{begin}\n\n{body}\n\n{end}{tail}"


def number(value):
    """Return a value with four significant digits, or that there is none.

    Examples
    --------
    >>> number(1234567.0), number(0.00012345), number(2.0)
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


def _line(variant, row):
    summary = row.summary
    bound = ""
    if row.bound is not None:
        sign = "≤" if row.is_upper else "≥"
        bound = f"{sign} {number(row.bound)}"
    cells = [
        variant,
        row.name,
        number(summary.median),
        f"{number(summary.lowest)} to {number(summary.highest)}",
        row.unit,
        bound,
        row.verdict,
    ]
    return "| " + " | ".join(cells) + " |"
