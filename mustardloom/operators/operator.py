"""Carries out the lines of operators."""

from mustardloom import findings
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import platform
from mustardloom.membership import records
from mustardloom.operators import commands
from mustardloom.operators import parser
from mustardloom.operators import queries
from mustardloom.operators import results
from mustardloom.operators import views

__all__ = ["Operator"]


class Operator:
    """Answers queries and carries out commands at one daemon."""

    def __init__(
        self,
        view: views.View,
        store: platform.PlatformClient,
        publish: records.Publish,
        metrics: metrics_lib.Metrics,
    ):
        self._view = view
        changer = commands.Changer(
            store, view.replica, publish, view.clock, metrics
        )
        self._metrics = metrics
        self._stops = commands.Stops(view, changer)

    async def execute(
        self, line: str, who: str, operation: ids.OperationId | None = None
    ) -> results.Result:
        """Carries out a line and returns the answer.

        Args:
          line: A query or command.
          who: Operator, for the audit trail.
          operation: Id of the command if it may be sent again.
        """
        try:
            statement = parser.parse(line)
            author = commands.Author(
                who, line.strip(), operation or ids.new_operation_id()
            )
            return await self._execute(statement, author)
        except parser.ParseError as error:
            self._metrics.increment("operators.malformed")
            return results.Malformed(
                message=str(error), findings=_faults(error)
            )
        except findings.FindingsError as error:
            return results.Findings(message=str(error), findings=_faults(error))

    async def _execute(
        self, statement: parser.Statement, author: commands.Author
    ) -> results.Result:
        match statement:
            case parser.Stop():
                return await self._stops.stop(statement, author)
            case parser.Start():
                return await self._stops.start(statement, author)
            case parser.Stops():
                return queries.stops(self._view)
        return results.Refused(message="not available")


def _faults(
    error: findings.FindingsError,
) -> tuple[results.FoundFault, ...]:
    return tuple(
        results.FoundFault(finding.place.column, finding.message)
        for finding in error.findings
    )
