"""Stops of availability zones and targets."""

from collections.abc import Iterator

from mustardloom import findings
from mustardloom.declarations import model
from mustardloom.operators import parser
from mustardloom.operators import results
from mustardloom.operators import views
from mustardloom.operators.commands import changes

__all__ = ["Stops"]


class Stops:
    """Takes availability zones and targets out of service and back."""

    def __init__(self, view: views.View, changer: changes.Changer):
        self._view = view
        self._changer = changer

    async def stop(
        self, command: parser.Stop, author: changes.Author
    ) -> results.Result:
        """Takes an availability zone or a target out of service.

        Raises:
          findings.FindingsError: There is no such zone or target.
        """
        key = model.stop_key(command.kind, command.name.text)
        seen = self._changer.seen(key)
        findings.raise_if_any(self._unknown(command.kind, command.name))
        change = self._change(command.kind, command.name, active=True)
        return await self._changer.apply(change, author, seen)

    async def start(
        self, command: parser.Start, author: changes.Author
    ) -> results.Result:
        """Brings an availability zone or a target back.

        Raises:
          findings.FindingsError: There is no such zone or target.
        """
        key = model.stop_key(command.kind, command.name.text)
        seen = self._changer.seen(key)
        if not seen:
            # What was stopped may have vanished since.
            findings.raise_if_any(self._unknown(command.kind, command.name))
        change = self._change(command.kind, command.name, active=False)
        return await self._changer.apply(change, author, seen)

    def _change(
        self, kind: model.StopKind, name: parser.Name, active: bool
    ) -> changes.Change[model.Stop]:
        stop = model.Stop(
            kind=kind,
            name=name.text,
            active=active,
            since_wall_ms=self._view.clock.wall_ms(),
        )

        def is_in_force(stored: model.Stop | None) -> bool:
            return (stored is not None and stored.active) == active

        state = "out of service" if active else "in service"
        return changes.Change(
            key=model.stop_key(kind, name.text),
            type=model.Stop,
            value=stop,
            is_in_force=is_in_force,
            message=f"{kind.value} {name.text} is {state}",
        )

    def _unknown(
        self, kind: model.StopKind, name: parser.Name
    ) -> Iterator[findings.Finding]:
        match kind:
            case model.StopKind.AVAILABILITY_ZONE:
                yield from self._view.unknown_zone(name)
            case model.StopKind.TARGET:
                yield from self._view.unknown_vm(name)
