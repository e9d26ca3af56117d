"""HTTP endpoint of the operator language."""

from typing import Any

import msgspec
from tornado import web

from mustardloom import ids
from mustardloom.operators import operator as operator_lib
from mustardloom.operators import results

__all__ = ["PATH", "Order", "handlers"]

PATH = "/operator"

_MAX_WHO_CHARACTERS = 100


def handlers(operator: operator_lib.Operator) -> list[Any]:
    """Returns the request handlers for the admin server."""
    return [(PATH, _OperatorHandler, {"operator": operator})]


def _is_name(who: str) -> bool:
    is_short = len(who) <= _MAX_WHO_CHARACTERS
    return bool(who.strip()) and who.isprintable() and is_short


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of `POST /operator`.

    Attributes:
      line: A query or command.
      who: Operator, for the audit trail.
      operation: Unique id of the command, the same if it is sent again.
    """

    line: str
    who: str
    operation: ids.OperationId | None = None


class _OperatorHandler(web.RequestHandler):
    def initialize(self, operator: operator_lib.Operator) -> None:
        """Sets the operator service."""
        self._operator = operator

    async def post(self) -> None:
        """Carries out a line."""
        result = await self._result()
        self.set_status(results.status_of(result))
        self.set_header("Content-Type", "application/json")
        self.finish(results.encode(result))

    async def _result(self) -> results.Result:
        try:
            order = msgspec.json.decode(self.request.body, type=Order)
        except msgspec.DecodeError as error:
            return results.Malformed(message=str(error), findings=())
        if not _is_name(order.who):
            message = (
                "'who' has to be a printable name of at most"
                f" {_MAX_WHO_CHARACTERS} characters, for the audit trail"
            )
            return results.Malformed(message=message, findings=())
        return await self._operator.execute(
            order.line, order.who, order.operation
        )
