"""Carries out the lines of operators."""

from mustardloom import findings
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.membership import fencing
from mustardloom.membership import records
from mustardloom.operators import commands
from mustardloom.operators import parser
from mustardloom.operators import queries
from mustardloom.operators import results
from mustardloom.operators import views
from mustardloom.ownership import chunk_writer

__all__ = ["Operator"]


class Operator:
    """Answers queries and carries out commands at one daemon."""

    def __init__(
        self,
        view: views.View,
        store: store_lib.PlatformClient,
        publish: records.PublishEvent,
        fencer: fencing.Fencer,
        metrics: metrics_lib.Metrics,
    ):
        """Creates the service.

        Args:
          view: What this daemon knows.
          store: The platform's store.
          publish: Pushes the event of an own write.
          fencer: Fences members that an operator confirms as lost.
          metrics: Receives counters.
        """
        self._view = view
        changer = commands.Changer(
            store, view.replica, publish, view.clock, metrics
        )
        self._metrics = metrics
        guard = commands.StopGuard(store, view.clock)
        self._stops = commands.Stops(view, changer, guard, metrics)
        self._losses = commands.LossConfirmation(view, changer, fencer)
        writer = chunk_writer.ChunkWriter(view.replica, store, publish, metrics)
        self._moves = commands.Moves(view, changer, writer)

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
        except store_lib.PlatformUnavailable as error:
            # Commands report what they left undecided; this is from a read
            # before the first write.
            self._metrics.increment("operators.store_unavailable")
            message = f"nothing was changed; the store: {error}"
            return results.Unavailable(message=message)

    async def _execute(
        self, statement: parser.Statement, author: commands.Author
    ) -> results.Result:
        if isinstance(statement, parser.Command):
            self._metrics.increment("operators.commands")
            return await self._command(statement, author)
        self._metrics.increment("operators.queries")
        return await self._query(statement)

    async def _command(
        self, command: parser.Command, author: commands.Author
    ) -> results.Result:
        match command:
            case parser.Stop():
                return await self._stops.stop(command, author)
            case parser.Start():
                return await self._stops.start(command, author)
            case parser.MoveSlot():
                return await self._moves.move_slot(command, author)
            case parser.MoveKey():
                return await self._moves.move_key(command, author)
            case parser.ConfirmLost():
                return await self._losses.confirm(command, author)

    async def _query(self, query: parser.Query) -> results.Table:
        view = self._view
        match query:
            case parser.Owner():
                return queries.owner(view, query)
            case parser.Load():
                return await queries.load(view, query)
            case parser.Targets():
                return queries.targets(view, query)
            case parser.Slots():
                return queries.slots(view, query)
            case parser.Moves():
                return queries.moves(view)
            case parser.Stops():
                return queries.stops(view)
            case parser.Configuration():
                return await queries.configuration(view)
            case parser.Audit():
                return queries.audit(view, query)
            case parser.Help():
                return queries.usage()


def _faults(
    error: findings.FindingsError,
) -> tuple[results.FoundFault, ...]:
    return tuple(
        results.FoundFault(finding.place.column, finding.message)
        for finding in error.findings
    )
