"""What the judges have in common that compare calls with the desired states of a site."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from soak.calls import Call
from soak.contact import Contact
from soak.desired_history import DesiredHistory

__all__ = ["CallJudge"]


@dataclass
class CallJudge:
    """Checks the calls of a seed once it has finished.

    Args:
      calls: all requests of callers.
      entries: the name of each entry by its address.
      history: the desired states of the site.
      contact: tells which entries were in touch.
    """

    calls: Iterable[Call]
    entries: Mapping[str, str]
    history: DesiredHistory
    contact: Contact
