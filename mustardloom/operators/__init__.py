"""Query and command language of operators, and what carries it out."""

from mustardloom.operators.endpoint import handlers
from mustardloom.operators.figures import Figures
from mustardloom.operators.history import OwnerHistory
from mustardloom.operators.operator import Operator
from mustardloom.operators.parser import parse
from mustardloom.operators.results import Result
from mustardloom.operators.views import View

__all__ = [
    "Figures",
    "Operator",
    "OwnerHistory",
    "Result",
    "View",
    "handlers",
    "parse",
]
