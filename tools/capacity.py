"""Measure the slopes and write docs/capacity.json, docs/capacity-*.png and docs/CAPACITY.md.

With --page nothing is measured: the plots and the page are written from docs/capacity.json.
"""

import json
import os
import platform
import sys
from dataclasses import asdict
from datetime import date
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402 - the backend must be set first
from capacity_page import render_page  # noqa: E402

from deckcourse.slopes import measure_all  # noqa: E402

DOCS = Path(__file__).resolve().parent.parent / "docs"
FIGURES_FILE = DOCS / "capacity.json"
PLOTS = {
    "capacity-data-path.png": (
        "token through an entry",
        "request of one token through an entry",
    ),
    "capacity-control.png": (
        "exchange with a peer, both sides, 16 loads",
        "apply a change, by runners placed",
        "plan of one intent, by runners",
        "spread of a change to all entries, by gossip alone",
    ),
}


def measure() -> None:
    """Run every measurement and write the figures to docs/capacity.json."""
    slopes = measure_all(print)
    machine = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    figures = {
        "date": str(date.today()),
        "machine": machine,
        "slopes": [asdict(slope) for slope in slopes],
    }
    FIGURES_FILE.write_text(json.dumps(figures, indent=1) + "\n", encoding="utf-8")


def plot(figures: dict) -> None:
    """Plot the points and fitted lines of the slopes that matter most for capacity."""
    slopes = {slope["name"]: slope for slope in figures["slopes"]}
    for file, names in PLOTS.items():
        figure, axes = plt.subplots(1, len(names), figsize=(4.2 * len(names), 3.2))
        for axis, name in zip(axes, names, strict=True):
            slope = slopes[name]
            line = [slope["base"] + slope["each"] * x for x in slope["x"]]
            axis.plot(slope["x"], slope["y"], "o", slope["x"], line, "-")
            axis.set_title(name, fontsize=8)
            axis.set_xlabel(f"{slope['per']}s" if slope["per"] != "doubling" else "log2(entries)")
            axis.set_ylabel(slope["unit"])
        figure.tight_layout()
        figure.savefig(DOCS / file, dpi=70)
        plt.close(figure)


def main() -> None:
    """Measure unless --page is given, then plot and write the page."""
    if "--page" not in sys.argv:
        measure()
    figures = json.loads(FIGURES_FILE.read_text(encoding="utf-8"))
    plot(figures)
    gateway = (DOCS / "capacity-gateway.md").read_text(encoding="utf-8")
    (DOCS / "CAPACITY.md").write_text(render_page(figures) + gateway, encoding="utf-8")


if __name__ == "__main__":
    main()
