"""Mutants: each switches off one mechanism, to show that a scenario goes red without it."""

import mutants_control  # noqa: F401 - registers its mutants
import mutants_requests  # noqa: F401 - registers its mutants
from mutant_registry import MUTANTS, mutant, switch_on
from mutants_admission import EVERY as OF_ADMISSION
from mutants_answer_ends import EVERY as OF_ANSWER_ENDS
from mutants_crashes import EVERY as OF_CRASHES
from mutants_foreign import EVERY as OF_FOREIGN_ROWS
from mutants_gateway import EVERY as OF_THE_GATEWAY
from mutants_layers import EVERY as OF_LAYERS
from mutants_load import EVERY as OF_LOAD
from mutants_losses import EVERY as OF_LOSSES
from mutants_moves import EVERY as OF_MOVES
from mutants_notices import EVERY as OF_NOTICES
from mutants_overload import EVERY as OF_OVERLOAD
from mutants_partitions import EVERY as OF_PARTITIONS
from mutants_peers import EVERY as OF_PEERS
from mutants_pieces import EVERY as OF_PIECES
from mutants_placement import EVERY as OF_PLACEMENT
from mutants_rates import EVERY as OF_RATES
from mutants_stop import EVERY as OF_STOP

__all__ = ["MUTANTS", "switch_on"]

for _function, (_mechanism, _features) in (
    OF_THE_GATEWAY
    | OF_LAYERS
    | OF_PEERS
    | OF_FOREIGN_ROWS
    | OF_NOTICES
    | OF_CRASHES
    | OF_ANSWER_ENDS
    | OF_RATES
    | OF_MOVES
    | OF_ADMISSION
    | OF_LOSSES
    | OF_PLACEMENT
    | OF_LOAD
    | OF_PARTITIONS
    | OF_OVERLOAD
    | OF_PIECES
    | OF_STOP
).items():
    mutant(_mechanism, *_features)(_function)
