"""Commands of the operator language; each changes stored objects."""

from mustardloom.operators.commands.changes import Author
from mustardloom.operators.commands.changes import Change
from mustardloom.operators.commands.changes import ChangeWriter
from mustardloom.operators.commands.guard import StopGuard
from mustardloom.operators.commands.losses import LossConfirmation
from mustardloom.operators.commands.moves import Moves
from mustardloom.operators.commands.stops import Stops

__all__ = [
    "Author",
    "Change",
    "ChangeWriter",
    "LossConfirmation",
    "Moves",
    "StopGuard",
    "Stops",
]
