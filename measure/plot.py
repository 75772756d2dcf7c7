"""Draws the measurements."""

from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

WIDTH_INCHES = 12
HEIGHT_INCHES = 5


def read_p99(figures: dict[str, float]) -> float:
    """Return the 99th percentile in seconds of work."""
    return figures["p99_over_mean"] * figures["mean_seconds"]


def draw(
    path: Path,
    imbalance: dict[str, dict[str, dict[str, float]]],
    churn: dict[str, dict[str, float]],
) -> None:
    """Write a plot of imbalance and broken flows to a file."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    left, right = figure.subplots(1, 2, width_ratios=(2, 1))
    for policy in next(iter(imbalance.values())):
        left.plot(
            list(imbalance),
            [read_p99(figures[policy]) for figures in imbalance.values()],
            marker="o",
            label=policy,
        )
    left.set_yscale("log")
    left.set_ylabel("p99 of in-progress over strength, seconds of work")
    left.tick_params(axis="x", rotation=30)
    left.legend(fontsize="small")
    right.barh(list(churn), [f["broken_per_thousand"] for f in churn.values()])
    right.set_xlabel("broken flows per thousand")
    figure.tight_layout()
    FigureCanvasAgg(figure).print_figure(path)
