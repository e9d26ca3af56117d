"""HTTP endpoint that accepts lines in the operator language."""

from typing import Any

import msgspec
from tornado import web

from mustardloom import ids
from mustardloom.operators import operator as operator_lib
from mustardloom.operators import results

__all__ = ["PATH", "OperatorRequest", "handlers"]

PATH = "/operator"

_MAX_WHO_CHARACTERS = 100


def handlers(operator: operator_lib.Operator) -> list[Any]:
    """Returns the Tornado handlers to add to the admin server."""
    return [(PATH, _OperatorHandler, {"operator": operator})]


def _is_valid_name(who: str) -> bool:
    is_short = len(who) <= _MAX_WHO_CHARACTERS
    return bool(who.strip()) and who.isprintable() and is_short


class OperatorRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of `POST /operator`.

    Attributes:
      line: A query or command.
      who: Name of the operator, for the audit trail.
      operation: Unique id of the command; a retry sends the same id. None lets
        the daemon choose one.
    """

    line: str
    who: str
    operation: ids.OperationId | None = None


class _OperatorHandler(web.RequestHandler):
    def initialize(self, operator: operator_lib.Operator) -> None:
        """Stores the operator service (called by Tornado)."""
        self._operator = operator

    async def post(self) -> None:
        """Executes the line in the body and answers with its result."""
        result = await self._execute_body()
        self.set_status(results.http_status(result))
        self.set_header("Content-Type", "application/json")
        self.finish(results.encode(result))

    async def _execute_body(self) -> results.Result:
        try:
            order = msgspec.json.decode(self.request.body, type=OperatorRequest)
        except msgspec.DecodeError as error:
            return results.Malformed(message=str(error), findings=())
        if not _is_valid_name(order.who):
            message = (
                "'who' must be a printable, non-blank name of at most"
                f" {_MAX_WHO_CHARACTERS} characters; it is written to the audit"
                " trail"
            )
            return results.Malformed(message=message, findings=())
        return await self._operator.execute(
            order.line, order.who, order.operation
        )
