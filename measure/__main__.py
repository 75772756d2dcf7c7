"""Runs the measurements of placement, churn and the packet path.

``python -m measure`` prints JSON; ``--plot FILE`` draws a plot too.
"""

from argparse import ArgumentParser
from json import dumps
from pathlib import Path

from measure.chain_cache import measure_chains
from measure.churn import measure_churn
from measure.imbalance import measure_imbalance
from measure.packet_path import measure_path
from measure.plot import draw


def main() -> None:
    """Measure, print and draw."""
    parser = ArgumentParser(prog="python -m measure", description=__doc__)
    parser.add_argument("--plot", type=Path, help="file to draw a plot to")
    arguments = parser.parse_args()
    imbalance = measure_imbalance()
    churn = measure_churn()
    figures = {
        "imbalance": imbalance,
        "churn": churn,
        "packets_a_second": measure_path(),
        "chain_cache": measure_chains(),
    }
    print(dumps(figures, indent=2))
    if arguments.plot is not None:
        draw(arguments.plot, imbalance, churn)


if __name__ == "__main__":
    main()
