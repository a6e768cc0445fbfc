"""What the modules that play several judges have in common."""

from collections.abc import Sequence
from dataclasses import dataclass

from soak.calls import Call
from soak.contact import Contact
from soak.interruptions import Interruptions
from soak.site import Site

__all__ = ["SiteJudges"]


@dataclass
class SiteJudges:
    """Checks a seed once it has finished; `Site.judged` counts the cases that were checked.

    Args:
      site: the site, with its desired states and what its runners recorded.
      proper_calls: all requests that crash nothing.
      interruptions: when processes were paused or their links were cut.
    """

    site: Site
    proper_calls: Sequence[Call]
    interruptions: Interruptions

    def __post_init__(self) -> None:
        self.contact = Contact(self.site.disturbances, self.site.entry_started_at)
        self.entries = self.site.entry_names
