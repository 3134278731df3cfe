"""Plots of results, one image per experiment."""

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from measure._tables import rows_of  # noqa: E402

COLUMNS = 4


def plot_all(results, experiments, folder):
    """Write a plot of each experiment that has results.

    Parameters
    ----------
    results : Results
        Results to plot.
    experiments : iterable of Experiment
        Experiments to plot.
    folder : pathlib.Path
        Folder for the images; made if it is missing.

    Returns
    -------
    list of pathlib.Path
        Paths of the images.
    """
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for experiment in experiments:
        variants = rows_of(results, experiment)
        if not any(variants.values()):
            continue
        path = folder / f"{experiment.name}.png"
        _plot(experiment, variants, path)
        paths.append(path)
    return paths


def _plot(experiment, variants, path):
    names = list(
        dict.fromkeys(row.name for rows in variants.values() for row in rows)
    )
    row_count = -(-len(names) // COLUMNS)
    figure, axes = pyplot.subplots(
        row_count, COLUMNS, figsize=(4 * COLUMNS, 3 * row_count), squeeze=False
    )
    for axis in axes.flat[len(names) :]:
        axis.axis("off")
    for axis, name in zip(axes.flat, names, strict=False):
        _draw(axis, name, variants)
    figure.suptitle(experiment.name)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _draw(axis, name, variants):
    for position, (_variant, rows) in enumerate(variants.items()):
        for row in rows:
            if row.name != name:
                continue
            summary = row.summary
            below = summary.median - summary.lowest
            above = summary.highest - summary.median
            axis.bar(position, summary.median, yerr=[[below], [above]])
            axis.set_ylabel(row.unit)
            if row.bound is not None:
                axis.axhline(row.bound, color="red", linestyle="--")
    axis.set_title(name, fontsize=8)
    axis.set_xticks(range(len(variants)), list(variants), fontsize=7)
