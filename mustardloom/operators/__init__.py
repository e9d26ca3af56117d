"""Query and command language for operators, and its implementation."""

from mustardloom.operators.endpoint import handlers
from mustardloom.operators.history import OwnerHistory
from mustardloom.operators.operator import Operator
from mustardloom.operators.parser import parse
from mustardloom.operators.reports import ReportCollector
from mustardloom.operators.results import Result
from mustardloom.operators.views import View

__all__ = [
    "Operator",
    "OwnerHistory",
    "ReportCollector",
    "Result",
    "View",
    "handlers",
    "parse",
]
